package chat_test

import (
	"strings"
	"testing"

	"mangopier.example/mangopier/internal/protocol/chat"
	"mangopier.example/mangopier/internal/protocol/code"
)

func TestDecodeKeepsUnknownFields(t *testing.T) {
	body := `{"model":"m","messages":[{"role":"user","content":"hi","name":"x"}],"temperature":0.5,"stream":true}`
	request, err := chat.Decode([]byte(body))
	if err != nil {
		t.Fatal(err)
	}
	request.EnableUsage()
	data, err := request.Encode()
	if err != nil {
		t.Fatal(err)
	}
	for _, part := range []string{`"temperature":0.5`, `"name":"x"`, `"include_usage":true`} {
		if !strings.Contains(string(data), part) {
			t.Errorf("encoded request lacks %s: %s", part, data)
		}
	}
}

func TestDecodeRejectsInvalidRequests(t *testing.T) {
	for _, body := range []string{
		``, `[]`, `{"model":"m"}`, `{"messages":[{}]}`, `{"model":"m","messages":[{}],"max_tokens":-1}`,
		`{"model":"m","messages":[{}],"resume":{"id":"x","tokens":1,"text":""}}`, `{"model":"m","model":"n","messages":[{}]}`,
	} {
		if _, err := chat.Decode([]byte(body)); !code.Is(err, code.MalformedRequest) {
			t.Errorf("Decode(%s) = %v, want code %v", body, err, code.MalformedRequest)
		}
	}
}

func TestPromptsWithCommonPrefixShareBlockHashes(t *testing.T) {
	prefix := strings.Repeat("sea ", 600)
	first := blockHashes(t, prefix+"is it cold?")
	second := blockHashes(t, prefix+"is it deep?")
	if len(first) < 4 || first[3] != second[3] {
		t.Fatalf("hashes of prompts with a common prefix = %v and %v, want the first 4 equal", first, second)
	}
	if other := blockHashes(t, "x"+prefix); other[0] == first[0] {
		t.Fatal("first block hashes of different prompts are equal, want different ones")
	}
}

func blockHashes(t *testing.T, text string) []uint64 {
	t.Helper()
	request, err := chat.Decode([]byte(`{"model":"m","messages":[{"role":"user","content":"` + text + `"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	return request.BlockHashes()
}
