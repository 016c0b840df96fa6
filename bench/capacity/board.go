package main

import (
	"fmt"
	"maps"
	"runtime"
	"testing"
	"time"

	"github.com/google/uuid"

	"mangostand.example/mangostand/pkg/board"
	decide "mangostand.example/mangostand/pkg/decide/membership"
	"mangostand.example/mangostand/pkg/decide/pick"
	"mangostand.example/mangostand/pkg/dynconf"
)

// measureBoard adds the memory of the board sections that grow with the fleet and
// the time of a node's operations on them, both at designSize members.
func measureBoard(table *results) {
	before := liveHeapBytes()
	members := newDesignMembers()
	endpoints := newEndpointTable(members)
	pickers := buildPickers(endpoints)
	buckets, _ := decide.Digest(members)
	ring := decide.NewRing(members)
	table.addSingle("board: members, cells, pickers, digest, ring", "KiB", designSize, (liveHeapBytes()-before)/1024)
	runtime.KeepAlive([]any{members, endpoints, pickers, buckets, ring})

	timeOperation := func(figure string, f func()) {
		result := testing.Benchmark(func(b *testing.B) {
			for b.Loop() {
				f()
			}
		})
		table.addSingle(figure, "us", designSize, float64(result.T.Nanoseconds())/float64(result.N)/1000)
	}
	timeOperation("member change: new snapshot, digest and ring", func() {
		next := board.NewMembers(members.Self, maps.Clone(members.ByInstance))
		_, _ = decide.Digest(next)
		_ = decide.NewRing(next)
	})
	timeOperation("digest", func() { _, _ = decide.Digest(members) })
	timeOperation("pickers of all services", func() { _ = buildPickers(endpoints) })
	picker := pickers[serviceName(0)]
	now, random := time.Now(), uint64(0)
	timeOperation("pick", func() {
		random += 0x9e3779b97f4a7c15
		_ = picker.Pick(&board.PickRequest{Now: now, Random: random})
	})
}

// newDesignMembers returns a membership of designSize members.
func newDesignMembers() *board.Members {
	byInstance := map[board.InstanceID]board.Member{}
	for i := range designSize {
		id := board.InstanceID(fmt.Sprintf("node-%03d", i))
		byInstance[id] = board.Member{
			Instance: id, Incarnation: 1, Sequence: 1, Service: serviceName(i),
			Region: fmt.Sprintf("region-%d", i%domainCount%regionCount), FailureDomain: fmt.Sprintf("domain-%d", i%domainCount),
			PeerAddr: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250), State: board.MemberServing, Slots: 10, Connections: 200,
		}
	}
	return board.NewMembers("node-000", byInstance)
}

func newEndpointTable(members *board.Members) *board.EndpointTable {
	endpoints := map[board.InstanceID]*board.Endpoint{}
	for id, m := range members.ByInstance {
		endpoints[id] = board.NewEndpoint(m)
		endpoints[id].UpdateLoadReport(board.LoadReport{InFlight: 3, Limit: 10, LatencyMicros: 5000, ReceivedAt: time.Now()})
	}
	return &board.EndpointTable{ByInstance: endpoints}
}

func buildPickers(table *board.EndpointTable) map[string]board.Picker {
	byService := map[string][]*board.Endpoint{}
	for _, endpoint := range table.ByInstance {
		byService[endpoint.Member.Service] = append(byService[endpoint.Member.Service], endpoint)
	}
	pickers := map[string]board.Picker{}
	for name, endpoints := range byService {
		pickers[name] = pick.New("hotcold", pick.Input{
			Endpoints: endpoints, FailureDomain: "domain-0", Balancing: dynconf.Default().Balancing,
		})
	}
	return pickers
}

// keyRecordCount is the number of key records whose memory is measured.
const keyRecordCount = 50_000

// measureKeyRecords adds the memory of a key record at its home node, and that of a
// key record of an executor, which includes a response of 200 bytes.
func measureKeyRecords(table *results) {
	granted := board.KeyRecord{State: board.KeyGranted, Executor: "node-001", ExecutorIncarnation: 1, Grant: 1}
	table.addSingle("key record at the home", "bytes", 1, bytesPerKeyRecord(granted))
	done := granted
	done.State = board.KeyDone
	table.addSingle("key record with a response of 200 bytes", "bytes", 1, bytesPerKeyRecord(done))
}

func bytesPerKeyRecord(template board.KeyRecord) float64 {
	before := liveHeapBytes()
	keys := board.NewKeyTables()
	for range keyRecordCount {
		record := template
		record.RequestDigest, record.RequestID = string(make([]byte, 64)), uuid.NewString()
		record.ExpiresAt = time.Now()
		if record.State == board.KeyDone {
			record.Response = &board.KeyResponse{
				Status: 200, Body: make([]byte, 200), BodyStored: true, BodyDigest: string(make([]byte, 64)),
				Header: map[string][]string{"Content-Type": {"application/json"}},
			}
		}
		id := board.KeyID{Service: serviceName(0), Caller: "atelier", Key: uuid.Must(uuid.NewV7()).String()}
		keys.HomeRecords.Insert(id, &record, 1<<40)
	}
	used := liveHeapBytes() - before
	runtime.KeepAlive(keys)
	return used / keyRecordCount
}

// liveHeapBytes returns the size of the live objects on the heap.
func liveHeapBytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
