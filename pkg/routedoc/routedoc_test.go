package routedoc

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// document returns a document of the given number of rules, with random names.
func document(rules int, timeout float64) []byte {
	random := rand.New(rand.NewPCG(1, 1))
	var b strings.Builder
	b.WriteString(`{"version":"r1","listeners":[{"host":"h.example","rules":[`)
	for i := range rules {
		fmt.Fprintf(&b, `{"name":"rule-%d","kind":"idempotent","target_latency_s":0.6,"priority":2,"match":{"prefix":"/%x/%x/"},"action":{"service":"desk","timeout_s":%g,"max_attempts":2}},`,
			i, random.Uint32(), random.Uint32(), timeout)
	}
	b.WriteString(`{}]}]}`)
	return []byte(b.String())
}

// Guards against a change of one value that costs as much as the whole document, and
// against documents that are sent uncompressed.
func TestSizes(t *testing.T) {
	before := document(1400, 1.2)
	after := []byte(strings.Replace(string(before), `"timeout_s":1.2`, `"timeout_s":2.5`, 1))
	more := document(2000, 1.2)
	whole, err := Compress(before, nil)
	require.NoError(t, err)
	require.Less(t, len(whole)*4, len(before))
	changed, err := Compress(after, before)
	require.NoError(t, err)
	require.Less(t, len(changed), 1000)
	added, err := Compress(more, before)
	require.NoError(t, err)
	wholeMore, err := Compress(more, nil)
	require.NoError(t, err)
	require.Less(t, len(added)*2, len(wholeMore))
	for _, c := range []struct{ data, base, want []byte }{{whole, nil, before}, {changed, before, after}, {added, before, more}} {
		got, err := Decompress(c.data, c.base)
		require.NoError(t, err)
		require.Equal(t, c.want, got)
	}
}

// Guards against a document that is put together from a difference and another base
// than that of the sender, and against one that was damaged.
func TestDecompressChecksItsInput(t *testing.T) {
	before, after := document(200, 1.2), document(200, 2.5)
	difference, err := Compress(after, before)
	require.NoError(t, err)
	_, err = Decompress(difference, append(document(200, 1.2), "another end"...))
	require.Error(t, err)
	_, err = Decompress(difference, nil)
	require.Error(t, err)
	whole, err := Compress(after, nil)
	require.NoError(t, err)
	damaged := append([]byte{}, whole...)
	damaged[len(damaged)/2] ^= 0x10
	_, err = Decompress(damaged, nil)
	require.Error(t, err)
	_, err = Decompress(whole[:len(whole)/2], nil)
	require.Error(t, err)
}

// Guards against a message that fills the memory of its receiver.
func TestDecompressBoundsTheDocument(t *testing.T) {
	bomb, err := Compress(make([]byte, 4*MaxDocumentBytes), nil)
	require.NoError(t, err)
	require.Less(t, len(bomb), MaxDocumentBytes)
	_, err = Decompress(bomb, nil)
	require.Error(t, err)
}

// Guards against a receiver that gets a difference from a version that it does not
// have, and against encodings that are computed again by each node on the way.
func TestSetEncodesForTheReceiver(t *testing.T) {
	var set *Set
	documents := map[uint64][]byte{}
	for version := uint64(1); version <= 6; version++ {
		documents[version] = document(100, float64(version))
		set = NewSet(version, documents[version], Encoded{}, time.Time{}, set)
	}
	for base := range uint64(9) {
		encoded, err := set.Encode(base)
		require.NoError(t, err)
		if base >= 3 && base <= 5 {
			require.Equal(t, base, encoded.Base)
		} else {
			require.Zero(t, encoded.Base)
		}
		got, err := Decompress(encoded.Data, documents[encoded.Base])
		require.NoError(t, err)
		require.Equal(t, documents[6], got)
		next := NewSet(6, got, encoded, time.Time{}, &Set{Version: encoded.Base, Document: documents[encoded.Base]})
		passedOn, err := next.Encode(encoded.Base)
		require.NoError(t, err)
		require.Equal(t, encoded, passedOn)
		require.Same(t, &encoded.Data[0], &passedOn.Data[0])
	}
}

func FuzzDecompress(f *testing.F) {
	base := document(20, 1.2)
	whole, err := Compress(document(20, 2.5), nil)
	require.NoError(f, err)
	difference, err := Compress(document(20, 2.5), base)
	require.NoError(f, err)
	f.Add(whole)
	f.Add(difference)
	f.Fuzz(func(t *testing.T, data []byte) {
		document, err := Decompress(data, base)
		if err == nil {
			require.LessOrEqual(t, len(document), MaxDocumentBytes)
		}
	})
}

func BenchmarkCompressWhole(b *testing.B) {
	document := document(1400, 1.2)
	for b.Loop() {
		_, _ = Compress(document, nil)
	}
}

func BenchmarkCompressDifference(b *testing.B) {
	base, document := document(1400, 1.2), document(1400, 1.2)
	for b.Loop() {
		_, _ = Compress(document, base)
	}
}
