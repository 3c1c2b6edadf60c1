package chat_test

import (
	"testing"

	"mangopier.example/mangopier/internal/protocol/chat"
)

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"hi"}],"stream":true}`))
	f.Add([]byte(`{"model":"m","messages":[{"content":[{"type":"text"}]}],"stream_options":{"x":1}}`))
	f.Add([]byte("{\"model\":\"\xff\"}"))
	f.Fuzz(func(t *testing.T, data []byte) {
		request, err := chat.Decode(data)
		if err != nil {
			return
		}
		request.AskUsage()
		encoded, err := request.Encode()
		if err != nil {
			t.Fatal(err)
		}
		again, err := chat.Decode(encoded)
		if err != nil {
			t.Fatalf("a forwarded request cannot be read: %v", err)
		}
		if again.PromptTokens() != request.PromptTokens() || !again.WantsUsage() {
			t.Error("a forwarded request differs")
		}
	})
}
