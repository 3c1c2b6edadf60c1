// Package compat compares messages of different builds. Builds run side by side while
// instances are replaced, so that fields of messages are only ever added.
package compat

import (
	"bufio"
	"encoding/hex"
	"fmt"
	"io"
	"reflect"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"mangopier.example/mangopier/internal/protocol/code"
)

// Message is a message as an earlier build wrote it.
type Message struct {
	Build string // commit
	Name  string
	Data  []byte // CBOR
}

// ReadMessages parses lines of build, name and hexadecimal bytes. Empty lines and those
// that begin with # are ignored. Errors have code.MessageMalformed.
func ReadMessages(reader io.Reader) ([]Message, error) {
	var messages []Message
	scanner := bufio.NewScanner(reader)
	for scanner.Scan() {
		fields := strings.Fields(scanner.Text())
		if len(fields) == 0 || strings.HasPrefix(fields[0], "#") {
			continue
		}
		if len(fields) != 3 {
			return nil, code.Errorf(code.MessageMalformed, "line %q is not a build, a name and bytes", scanner.Text())
		}
		data, err := hex.DecodeString(fields[2])
		if err != nil {
			return nil, code.Wrap(err, code.MessageMalformed, "decode the bytes of "+fields[1])
		}
		messages = append(messages, Message{fields[0], fields[1], data})
	}
	return messages, code.Wrap(scanner.Err(), code.MessageMalformed, "read messages")
}

// Problems reads messages of earlier builds, has each decoded by the current build and
// encoded again by recode, and returns what a build that reads the result would miss: a
// line for each message, with the paths of the fields. Errors have
// code.MessageMalformed, also if there are no messages.
func Problems(reader io.Reader, recode func(Message) ([]byte, error)) ([]string, error) {
	messages, err := ReadMessages(reader)
	if err != nil {
		return nil, err
	}
	if len(messages) == 0 {
		return nil, code.Errorf(code.MessageMalformed, "no messages")
	}
	var problems []string
	for _, message := range messages {
		current, err := recode(message)
		if err != nil {
			problems = append(problems, fmt.Sprintf("%s of %s cannot be read: %v", message.Name, message.Build, err))
			continue
		}
		changed, err := ChangedFields(message.Data, current)
		if err != nil {
			return nil, err
		}
		if len(changed) > 0 {
			problems = append(problems, fmt.Sprintf("%s: fields of %s that are missing or changed: %s", message.Name, message.Build, strings.Join(changed, " ")))
		}
	}
	return problems, nil
}

// ChangedFields returns the paths of the fields of an earlier message that the same
// message of the current build lacks, or holds with another value or type. Fields that
// the current build has added do not count. Errors have code.MessageMalformed.
func ChangedFields(earlier, current []byte) ([]string, error) {
	var before, after any
	if err := cbor.Unmarshal(earlier, &before); err != nil {
		return nil, code.Wrap(err, code.MessageMalformed, "decode the earlier message")
	}
	if err := cbor.Unmarshal(current, &after); err != nil {
		return nil, code.Wrap(err, code.MessageMalformed, "decode the current message")
	}
	return changedFields("", before, after), nil
}

func changedFields(path string, before, after any) []string {
	switch before := before.(type) {
	case map[any]any:
		after, ok := after.(map[any]any)
		if !ok {
			return []string{path}
		}
		var changed []string
		for key, value := range before {
			changed = append(changed, changedFields(fmt.Sprint(path, "/", key), value, after[key])...)
		}
		slices.Sort(changed)
		return changed
	case []any:
		after, ok := after.([]any)
		if !ok || len(after) != len(before) {
			return []string{path}
		}
		var changed []string
		for i, value := range before {
			changed = append(changed, changedFields(fmt.Sprint(path, "/", i), value, after[i])...)
		}
		return changed
	default:
		if !reflect.DeepEqual(before, after) {
			return []string{path}
		}
		return nil
	}
}
