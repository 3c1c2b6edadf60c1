package conf_test

import (
	"testing"

	"mangopier.example/mangopier/internal/protocol/conf"
)

// FuzzParse checks that Parse accepts only settings that pass validation.
func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte(`{"limits": {"body-bytes": -1}}`))
	f.Add([]byte("{\"instance\": \"\xff\"}"))
	f.Fuzz(func(t *testing.T, data []byte) {
		settings, err := conf.Parse(data)
		if err == nil && settings.Validate() != nil {
			t.Error("Parse accepted settings that fail validation")
		}
	})
}
