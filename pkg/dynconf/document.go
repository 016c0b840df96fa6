package dynconf

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/juju/errors"

	"mangostand.example/mangostand/pkg/inifile"
)

// CurrentKey is the store key of the accepted configuration.
const CurrentKey = "config/current"

// Document is one accepted version of the configuration of all sites.
type Document struct {
	// Version rises by one with each accepted change.
	Version uint64 `json:"version"`
	// ChangeID identifies the change, so that its author can settle a lost
	// answer of the store.
	ChangeID string `json:"change_id"`
	// Parent is the version that the author started from.
	Parent   uint64            `json:"parent"`
	Author   string            `json:"author"`
	Time     time.Time         `json:"time"`
	Base     string            `json:"base"`
	Overlays map[string]string `json:"overlays"`
	// Difference is the change against the parent as a line difference.
	Difference string `json:"difference"`
}

// Encode returns the stored form.
func (d *Document) Encode() ([]byte, error) {
	data, err := json.Marshal(d)
	return data, errors.Trace(err)
}

// DecodeDocument reads the stored form.
func DecodeDocument(data []byte) (*Document, error) {
	var d Document
	if err := json.Unmarshal(data, &d); err != nil {
		return nil, errors.Annotate(err, "configuration document")
	}
	if d.Version == 0 || d.ChangeID == "" {
		return nil, errors.New("configuration document: version and change ID are required")
	}
	return &d, nil
}

// ForSite returns the merged configuration of a site.
func (d *Document) ForSite(site string) (*Config, error) {
	base := Source{Name: "base", Data: []byte(d.Base)}
	var overlay *Source
	if text, ok := d.Overlays[site]; ok {
		overlay = &Source{Name: "overlay " + site, Data: []byte(text)}
	}
	config, problems := Merge(site, base, overlay)
	if len(problems) > 0 {
		return nil, errors.Errorf("configuration version %d: %s", d.Version, joinProblems(problems))
	}
	config.Version = d.Version
	config.ChangeID = d.ChangeID
	return config, nil
}

func joinProblems(problems []*inifile.Error) string {
	var lines []string
	for _, p := range problems {
		lines = append(lines, p.Error())
	}
	return strings.Join(lines, "; ")
}
