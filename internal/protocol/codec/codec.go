// Package codec provides the encoding of messages that instances send each other
// through Connect.
package codec

import "github.com/fxamacker/cbor/v2"

// CBOR encodes messages as CBOR. It implements connect.Codec. A string may hold any
// bytes, as the value of an HTTP header may.
type CBOR struct{}

// Name returns the codec's name in the content type.
func (CBOR) Name() string { return "cbor" }

// Marshal returns the CBOR encoding of a message.
func (CBOR) Marshal(message any) ([]byte, error) { return cbor.Marshal(message) }

// Unmarshal decodes CBOR data into a message.
func (CBOR) Unmarshal(data []byte, message any) error { return decoder.Unmarshal(data, message) }

var decoder = newDecoder()

func newDecoder() cbor.DecMode {
	decMode, err := cbor.DecOptions{UTF8: cbor.UTF8DecodeInvalid}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return decMode
}
