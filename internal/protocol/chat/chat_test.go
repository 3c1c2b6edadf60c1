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
	request.AskUsage()
	data, err := request.Encode()
	if err != nil {
		t.Fatal(err)
	}
	for _, part := range []string{`"temperature":0.5`, `"name":"x"`, `"include_usage":true`} {
		if !strings.Contains(string(data), part) {
			t.Errorf("%s is missing from %s", part, data)
		}
	}
}

func TestDecodeRefuses(t *testing.T) {
	for _, body := range []string{
		``, `[]`, `{"model":"m"}`, `{"messages":[{}]}`, `{"model":"m","messages":[{}],"max_tokens":-1}`,
		`{"model":"m","messages":[{}],"resume":{"id":"x","tokens":1,"text":""}}`, `{"model":"m","model":"n","messages":[{}]}`,
	} {
		if _, err := chat.Decode([]byte(body)); !code.Is(err, code.MalformedRequest) {
			t.Errorf("%s: got %v", body, err)
		}
	}
}

func TestBlocksShareAPrefix(t *testing.T) {
	dossier := strings.Repeat("sea ", 600)
	one := blocks(t, dossier+"is it cold?")
	two := blocks(t, dossier+"is it deep?")
	if len(one) < 4 || one[3] != two[3] {
		t.Fatalf("no common prefix: %v %v", one, two)
	}
	if other := blocks(t, "x"+dossier); other[0] == one[0] {
		t.Fatal("different prompts share a block")
	}
}

func blocks(t *testing.T, text string) []uint64 {
	t.Helper()
	request, err := chat.Decode([]byte(`{"model":"m","messages":[{"role":"user","content":"` + text + `"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	return request.Blocks()
}
