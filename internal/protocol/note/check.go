package note

import (
	"net/netip"
	"strings"

	"github.com/go-json-experiment/json"

	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/protocol/jsonc"
)

const (
	digestPrefix    = "sha256:"
	digestHexDigits = 64
	maxNameBytes    = 128
)

// Decode decodes a note from JSON with comments. Errors have code.NoteInvalid
// and name the line and the field.
func Decode(data []byte) (*Note, error) {
	note := &Note{}
	if err := jsonc.Decode(data, note); err != nil {
		return nil, code.Wrap(err, code.NoteInvalid, "release note")
	}
	return note, nil
}

// Encode returns the note as JSON. Equal notes give equal bytes.
func (note *Note) Encode() ([]byte, error) {
	return json.Marshal(note, json.Deterministic(true))
}

// checkWithdrawals checks that note withdraws only items in the catalog and does
// not set a key that was withdrawn before.
func checkWithdrawals(catalog *Catalog, note *Note) error {
	for _, key := range note.Keys.Set {
		if number, ok := catalog.WithdrawnKeys[key.Digest]; ok {
			return invalidNote("key %s was withdrawn by note %d and cannot be set again", key.Digest, number)
		}
	}
	return firstError(
		checkWithdrawnNames("data-centers", catalog.DataCenters, note.DataCenters.Withdraw),
		checkWithdrawnNames("models", catalog.Models, note.Models.Withdraw),
		checkWithdrawnNames("adapters", catalog.Adapters, note.Adapters.Withdraw),
		checkWithdrawnNames("teams", catalog.Teams, note.Teams.Withdraw),
		checkWithdrawnNames("keys", catalog.Keys, note.Keys.Withdraw),
		checkWithdrawnNames("routes", catalog.Routes, note.Routes.Withdraw),
		checkWithdrawnNames("targets", catalog.Targets, note.Targets.Withdraw),
	)
}

func checkWithdrawnNames[T any](kind string, items map[string]T, names []string) error {
	for _, name := range names {
		if _, ok := items[name]; !ok {
			return invalidNote("%s: cannot withdraw %q, which is not in the catalog", kind, name)
		}
	}
	return nil
}

func (catalog *Catalog) check() error {
	return firstError(
		checkEach(catalog.DataCenters, catalog.checkDataCenter),
		checkEach(catalog.Models, catalog.checkModel),
		checkEach(catalog.Adapters, catalog.checkAdapter),
		checkEach(catalog.Teams, catalog.checkTeam),
		checkEach(catalog.Keys, catalog.checkKey),
		checkEach(catalog.Routes, catalog.checkRoute),
		checkEach(catalog.Targets, catalog.checkTarget),
	)
}

func (catalog *Catalog) checkDataCenter(item DataCenter) error {
	if item.MinTargets < 0 || item.MaxTargets < item.MinTargets {
		return invalidNote("data centre %q: min-targets %d is negative or above max-targets %d", item.Name, item.MinTargets, item.MaxTargets)
	}
	return checkName("data centre", item.Name)
}

func (catalog *Catalog) checkModel(item Model) error {
	if item.Version == "" {
		return invalidNote("model %q: version is missing", item.Name)
	}
	if item.WeightBytes < 0 {
		return invalidNote("model %q: weight-bytes is negative", item.Name)
	}
	for _, adapter := range item.Adapters {
		if catalog.Adapters[adapter].Model != item.Name {
			return invalidNote("model %q: no adapter %q for it", item.Name, adapter)
		}
	}
	return checkName("model", item.Name)
}

func (catalog *Catalog) checkAdapter(item Adapter) error {
	if _, ok := catalog.Models[item.Model]; !ok {
		return invalidNote("adapter %q: no model %q", item.Name, item.Model)
	}
	if item.Version == "" || item.WeightBytes < 0 {
		return invalidNote("adapter %q: version is missing or weight-bytes is negative", item.Name)
	}
	return checkName("adapter", item.Name)
}

func (catalog *Catalog) checkTeam(item Team) error {
	if item.Weight < 0 {
		return invalidNote("team %q: weight is negative", item.Name)
	}
	return checkName("team", item.Name)
}

func (catalog *Catalog) checkKey(item Key) error {
	if _, ok := catalog.Teams[item.Team]; !ok {
		return invalidNote("key %s: no team %q", item.Digest, item.Team)
	}
	hexDigits, ok := strings.CutPrefix(item.Digest, digestPrefix)
	if !ok || len(hexDigits) != digestHexDigits || strings.Trim(hexDigits, "0123456789abcdef") != "" {
		return invalidNote("key %q is not a digest like %s followed by %d hexadecimal digits", item.Digest, digestPrefix, digestHexDigits)
	}
	return nil
}

func (catalog *Catalog) checkRoute(item Route) error {
	if !strings.HasPrefix(item.Path, "/") || strings.HasPrefix(item.Path, "/v1/") || strings.Contains(item.Path, "..") {
		return invalidNote("route %q: path must begin with a slash and lie outside /v1/", item.Path)
	}
	if item.TimeoutMS < 0 {
		return invalidNote("route %q: timeout-ms is negative", item.Path)
	}
	return checkName("service", item.Service)
}

func (catalog *Catalog) checkTarget(item Target) error {
	if _, ok := catalog.DataCenters[item.DataCenter]; !ok {
		return invalidNote("target %q: no data centre %q", item.ID, item.DataCenter)
	}
	if _, err := netip.ParseAddrPort(item.Address); err != nil {
		return invalidNote("target %q: address %q is not IP:port", item.ID, item.Address)
	}
	if item.HourlyPriceMilli < 0 || item.PrefillTPS < 0 || item.DecodeTPS < 0 || item.Slots < 0 {
		return invalidNote("target %q: price-milli, prefill-tps, decode-tps or slots is negative", item.ID)
	}
	return firstError(checkName("target", item.ID), catalog.checkTargetKind(item))
}

func (catalog *Catalog) checkTargetKind(item Target) error {
	switch item.Kind {
	case KindService:
		return checkName("service", item.Service)
	case KindEngine:
		return catalog.checkEngine(item)
	default:
		return invalidNote("target %q: kind %q is neither engine nor service", item.ID, item.Kind)
	}
}

func (catalog *Catalog) checkEngine(item Target) error {
	for _, model := range item.Models {
		if _, ok := catalog.Models[model]; !ok {
			return invalidNote("target %q: no model %q", item.ID, model)
		}
	}
	switch item.Role {
	case "", RoleMixed, RolePrefill, RoleDecode:
		return nil
	default:
		return invalidNote("target %q: role %q is not mixed, prefill or decode", item.ID, item.Role)
	}
}

func checkEach[T any](items map[string]T, check func(T) error) error {
	for _, item := range items {
		if err := check(item); err != nil {
			return err
		}
	}
	return nil
}

func checkName(kind, name string) error {
	if name == "" || len(name) > maxNameBytes {
		return invalidNote("%s name %q is empty or longer than %d bytes", kind, name, maxNameBytes)
	}
	if strings.ContainsAny(name, "/ \t\r\n\"") {
		return invalidNote("%s name %q has a slash, space or quote", kind, name)
	}
	return nil
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func invalidNote(format string, args ...any) error {
	return code.Errorf(code.NoteInvalid, format, args...)
}
