package conf_test

import (
	"strings"
	"testing"

	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/protocol/conf"
)

const valid = `{
  // where the instance runs
  "instance": "entry-1",
  "data-center": "kosice-1",
  "listen": "127.0.0.1:8080",
  "peer-listen": "127.0.0.1:8081",
  "platform": "127.0.0.1:8082",
  "timeouts": {"silence-ms": 2000},
}`

func TestParseKeepsDefaultsOfMissingFields(t *testing.T) {
	settings, err := conf.Parse([]byte(valid))
	if err != nil {
		t.Fatal(err)
	}
	if settings.Timeouts.SilenceMS != 2000 || settings.Timeouts.DialMS != conf.Default().Timeouts.DialMS {
		t.Fatalf("Timeouts = %+v, want SilenceMS 2000 and the default DialMS", settings.Timeouts)
	}
}

func TestParseErrorNamesLineAndField(t *testing.T) {
	cases := []struct{ old, new, want string }{
		{`"silence-ms": 2000`, `"silence-ms": 0`, "line 8, field /timeouts/silence-ms: is out of range"},
		{`"silence-ms": 2000`, `"silence": 1`, "line 8, field /timeouts/silence: unknown field"},
		{`127.0.0.1:8082`, `platform:8082`, "line 7, field /platform: is not IP:port"},
		{`"entry-1"`, `""`, "line 3, field /instance: is empty"},
	}
	for _, test := range cases {
		_, err := conf.Parse([]byte(strings.Replace(valid, test.old, test.new, 1)))
		if !code.Is(err, code.SettingsInvalid) || !strings.Contains(err.Error(), test.want) {
			t.Errorf("Parse with %s: error = %v, want it to contain %q", test.new, err, test.want)
		}
	}
}
