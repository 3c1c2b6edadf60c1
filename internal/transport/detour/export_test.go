package detour

import "mangopier.example/mangopier/internal/protocol/codec"

// RecodeRequest decodes a forwarded request and encodes it again.
func RecodeRequest(data []byte) ([]byte, error) {
	var request wireRequest
	if err := (codec.CBOR{}).Unmarshal(data, &request); err != nil {
		return nil, err
	}
	return codec.CBOR{}.Marshal(newWireRequest(request.forwardedRequest()))
}

// RecodeResponse decodes a message of a response and encodes it again.
func RecodeResponse(data []byte) ([]byte, error) {
	var response wireResponse
	if err := (codec.CBOR{}).Unmarshal(data, &response); err != nil {
		return nil, err
	}
	return codec.CBOR{}.Marshal(response)
}
