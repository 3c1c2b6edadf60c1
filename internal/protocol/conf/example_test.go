package conf_test

import (
	"testing"

	"mangopier.example/mangopier/internal/protocol/conf"
)

func TestExampleHoldsTheDefaults(t *testing.T) {
	settings, err := conf.Load("../../../examples/settings.jsonc")
	if err != nil {
		t.Fatal(err)
	}
	defaults := conf.Default()
	if settings.Limits != defaults.Limits || settings.Timeouts != defaults.Timeouts || settings.Usage != defaults.Usage || settings.Policy != defaults.Policy {
		t.Errorf("the example differs from the defaults: %+v", settings)
	}
}
