package conf_test

import (
	"testing"

	"mangopier.example/mangopier/internal/protocol/conf"
)

// TestExampleSettingsEqualDefaults guards against an example file that no longer
// shows the defaults.
func TestExampleSettingsEqualDefaults(t *testing.T) {
	settings, err := conf.Load("../../../examples/settings.jsonc")
	if err != nil {
		t.Fatal(err)
	}
	defaults := conf.Default()
	if settings.Limits != defaults.Limits || settings.Timeouts != defaults.Timeouts || settings.Usage != defaults.Usage || settings.Policy != defaults.Policy {
		t.Errorf("Load(example) = %+v, want the defaults", settings)
	}
}
