package dynconf

import (
	"bytes"
	"encoding/json"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"mangostand.example/mangostand/pkg/inifile"
)

// CurrentKey is the store key of the accepted configuration.
const CurrentKey = "config/current"

// MaxDocumentSize is the size of the largest value of the store in bytes.
const MaxDocumentSize = 1000 * 1000

// maxDifference bounds the difference that a document carries in bytes, so
// that a large change leaves room for its files.
const maxDifference = 16 * 1000

// Document is one accepted version of the configuration of all sites.
type Document struct {
	// Version rises by one with each accepted change.
	Version uint64 `json:"version"`
	// ChangeID identifies the change, so that its author can settle a lost
	// answer of the store.
	ChangeID string `json:"change_id"`
	// ParentVersion is the version that the author started from, 0 for the first.
	ParentVersion uint64            `json:"parent"`
	Author        string            `json:"author"`
	Time          time.Time         `json:"time"`
	Base          string            `json:"base"`
	Overlays      map[string]string `json:"overlays"`
	// Difference is the change against the parent, see Difference. A long one
	// is cut.
	Difference string `json:"difference"`
}

// SetParent makes the document the successor of a parent, which is nil for the
// first version.
func (d *Document) SetParent(parent *Document) {
	if parent == nil {
		parent = &Document{}
	}
	d.ParentVersion = parent.Version
	d.Version = parent.Version + 1
	d.Difference = Difference(parent, d)
	if len(d.Difference) > maxDifference {
		d.Difference = strings.ToValidUTF8(d.Difference[:maxDifference], "") + "\n(cut)\n"
	}
}

// Encode returns the stored form. It fails when the store cannot hold it.
func (d *Document) Encode() ([]byte, error) {
	data, err := json.Marshal(d)
	if err != nil {
		return nil, errors.Annotate(err, "configuration document")
	}
	if len(data) > MaxDocumentSize {
		return nil, errors.Errorf("configuration document has %d bytes, the store holds %d", len(data), MaxDocumentSize)
	}
	return data, nil
}

// DecodeDocument reads the stored form. Fields that this release does not know
// are refused, since a node would put only a part of the change in force.
func DecodeDocument(data []byte) (*Document, error) {
	if len(data) > MaxDocumentSize {
		return nil, errors.Errorf("configuration document has %d bytes, at most %d are allowed", len(data), MaxDocumentSize)
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	var d Document
	if err := decoder.Decode(&d); err != nil {
		return nil, errors.Annotate(err, "configuration document")
	}
	if _, err := decoder.Token(); err != io.EOF {
		return nil, errors.New("configuration document: data behind its end")
	}
	if d.Version == 0 || d.ChangeID == "" {
		return nil, errors.New("configuration document: version and change ID are required")
	}
	if d.Version != d.ParentVersion+1 {
		return nil, errors.Errorf("configuration document: version %d does not follow parent %d", d.Version, d.ParentVersion)
	}
	return &d, nil
}

// SourceNames maps the files of a document to the names that problems show.
// The key of the base is "".
type SourceNames map[string]string

// sources returns the base and the overlay of a site, nil when the site has
// none.
func (d *Document) sources(site string, names SourceNames) (Source, *Source) {
	base := Source{Name: "base", Data: []byte(d.Base)}
	if name, ok := names[""]; ok {
		base.Name = name
	}
	text, ok := d.Overlays[site]
	if !ok {
		return base, nil
	}
	overlay := &Source{Name: "overlay " + site, Data: []byte(text)}
	if name, ok := names[site]; ok {
		overlay.Name = name
	}
	return base, overlay
}

// Validate merges the configuration of each site and returns all problems, each
// once. A document without overlays has one site, which its base describes.
func (d *Document) Validate(names SourceNames) []*inifile.Error {
	var problems []*inifile.Error
	for _, site := range d.Sites() {
		base, overlay := d.sources(site, names)
		_, found := Merge(site, base, overlay)
		problems = append(problems, found...)
	}
	return unique(problems)
}

// unique drops repeated problems: one in the base shows at each site.
func unique(problems []*inifile.Error) []*inifile.Error {
	seen := map[inifile.Error]bool{}
	return slices.DeleteFunc(problems, func(p *inifile.Error) bool {
		repeated := seen[*p]
		seen[*p] = true
		return repeated
	})
}

// defaultSite is the name of the only site of a document without overlays.
const defaultSite = "default"

// Sites returns the sites of the overlays in their order.
func (d *Document) Sites() []string {
	if len(d.Overlays) == 0 {
		return []string{defaultSite}
	}
	return sitesOf(d)
}

// Render returns the merged configuration of a site, see Render.
func (d *Document) Render(site string, names SourceNames) (string, []*inifile.Error) {
	base, overlay := d.sources(site, names)
	return Render(site, base, overlay)
}

// ConfigForSite returns the merged configuration of a site. A site without an
// overlay runs from the base alone.
func (d *Document) ConfigForSite(site string) (*Config, error) {
	base, overlay := d.sources(site, nil)
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
