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

// CurrentKey is the store key of the current document.
const CurrentKey = "config/current"

// MaxDocumentSize is the largest size of an encoded document in bytes. It is
// the limit of the store for one value.
const MaxDocumentSize = 1000 * 1000

// maxDifferenceBytes limits the difference that is stored in a document, so that
// a large change leaves room for the files.
const maxDifferenceBytes = 16 * 1000

// Document is one version of the configuration of all sites, as it is stored.
type Document struct {
	// Version increases by one with each accepted change.
	Version uint64 `json:"version"`
	// ChangeID identifies the change. It lets the author find out whether a
	// write took effect after the response of the store was lost.
	ChangeID string `json:"change_id"`
	// ParentVersion is the version that the change is based on, 0 for the first
	// version.
	ParentVersion uint64    `json:"parent"`
	Author        string    `json:"author"`
	Time          time.Time `json:"time"`
	// Base is the text of the base file.
	Base string `json:"base"`
	// Overlays maps a site to the text of its overlay file.
	Overlays map[string]string `json:"overlays"`
	// Difference is the result of the function Difference for the parent and
	// this document, truncated if it is long.
	Difference string `json:"difference"`
}

// SetParent makes the document the next version after parent, which is nil for
// the first version: it sets the version, the parent version and the
// difference.
func (d *Document) SetParent(parent *Document) {
	if parent == nil {
		parent = &Document{}
	}
	d.ParentVersion = parent.Version
	d.Version = parent.Version + 1
	d.Difference = Difference(parent, d)
	if len(d.Difference) > maxDifferenceBytes {
		d.Difference = strings.ToValidUTF8(d.Difference[:maxDifferenceBytes], "") + "\n(cut)\n"
	}
}

// Encode returns the document in its stored form, which is JSON. It fails if the
// result exceeds MaxDocumentSize.
func (d *Document) Encode() ([]byte, error) {
	data, err := json.Marshal(d)
	if err != nil {
		return nil, errors.Annotate(err, "configuration document")
	}
	if len(data) > MaxDocumentSize {
		return nil, errors.Errorf("configuration document has %d bytes, the store accepts at most %d", len(data), MaxDocumentSize)
	}
	return data, nil
}

// DecodeDocument parses the stored form. It rejects unknown fields, because a
// node of an older release would otherwise apply only a part of the change.
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
		return nil, errors.New("configuration document: trailing data")
	}
	if d.Version == 0 || d.ChangeID == "" {
		return nil, errors.New("configuration document: version and change ID are required")
	}
	if d.Version != d.ParentVersion+1 {
		return nil, errors.Errorf("configuration document: version %d does not follow parent %d", d.Version, d.ParentVersion)
	}
	return &d, nil
}

// SourceNames holds the file names to show in error messages. It maps a site to
// the name of its overlay and "" to the name of the base.
type SourceNames map[string]string

// sources returns the base and the overlay of a site. The overlay is nil if the
// site has none.
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

// Validate merges the configuration of each site and returns all problems
// without duplicates. A document without overlays has a single site, which the
// base describes.
func (d *Document) Validate(names SourceNames) []*inifile.Error {
	var problems []*inifile.Error
	for _, site := range d.Sites() {
		base, overlay := d.sources(site, names)
		_, siteProblems := Merge(site, base, overlay)
		problems = append(problems, siteProblems...)
	}
	return deduplicate(problems)
}

// deduplicate removes repeated problems: a problem in the base is found once for
// each site.
func deduplicate(problems []*inifile.Error) []*inifile.Error {
	seen := map[inifile.Error]bool{}
	return slices.DeleteFunc(problems, func(p *inifile.Error) bool {
		duplicate := seen[*p]
		seen[*p] = true
		return duplicate
	})
}

// defaultSite is the name of the only site of a document without overlays.
const defaultSite = "default"

// Sites returns the sorted names of the sites with an overlay, or the default
// site if there is no overlay.
func (d *Document) Sites() []string {
	if len(d.Overlays) == 0 {
		return []string{defaultSite}
	}
	return overlaySites(d)
}

// Render returns the merged configuration of a site as an INI file, see the
// function Render.
func (d *Document) Render(site string, names SourceNames) (string, []*inifile.Error) {
	base, overlay := d.sources(site, names)
	return Render(site, base, overlay)
}

// ConfigForSite returns the merged configuration of a site. A site without an
// overlay uses the base alone.
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
