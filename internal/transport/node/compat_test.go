package node_test

import (
	"os"
	"testing"

	"mangopier.example/mangopier/internal/protocol/compat"
	"mangopier.example/mangopier/internal/transport/node"
)

// Instances of earlier builds run beside this one while they are replaced. Guards
// against a message of theirs that this build reads wrongly, and against one of this
// build that lacks what they read.
func TestMessagesKeepFieldsOfEarlierBuilds(t *testing.T) {
	file, err := os.Open("testdata/messages.txt")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	problems, err := compat.Problems(file, recode)
	if err != nil || len(problems) > 0 {
		t.Errorf("Problems() = %q, %v, want none", problems, err)
	}
}

// recode decodes a message and encodes it again.
func recode(message compat.Message) ([]byte, error) {
	return node.RecodeHeartbeat(message.Data)
}
