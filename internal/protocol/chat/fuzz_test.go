package chat_test

import (
	"testing"

	"mangopier.example/mangopier/internal/protocol/chat"
)

// FuzzDecode checks that each request that Decode accepts can be encoded and
// decoded again without a change in its prompt size.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"hi"}],"stream":true}`))
	f.Add([]byte(`{"model":"m","messages":[{"content":[{"type":"text"}]}],"stream_options":{"x":1}}`))
	f.Add([]byte("{\"model\":\"\xff\"}"))
	f.Fuzz(func(t *testing.T, data []byte) {
		request, err := chat.Decode(data)
		if err != nil {
			return
		}
		request.EnableUsage()
		encoded, err := request.Encode()
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := chat.Decode(encoded)
		if err != nil {
			t.Fatalf("Decode(Encode(request)) = %v, want no error", err)
		}
		if decoded.EstimatePromptTokens() != request.EstimatePromptTokens() || !decoded.WantsUsage() {
			t.Error("request differs after Encode and Decode")
		}
	})
}
