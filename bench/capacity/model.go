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

// measureBoard adds the memory of a board with the members of the design size,
// and the time of what a node does with it.
func measureBoard(table *results) {
	before := heap()
	members := designMembers()
	table0 := loadTable(members)
	pickers := buildPickers(table0)
	buckets, _ := decide.Digest(members)
	ring := decide.NewRing(members)
	table.single("board: members, cells, pickers, digest, ring", "KiB", designSize, (heap()-before)/1024)
	runtime.KeepAlive([]any{members, table0, pickers, buckets, ring})

	time1 := func(figure string, f func()) {
		result := testing.Benchmark(func(b *testing.B) {
			for b.Loop() {
				f()
			}
		})
		table.single(figure, "us", designSize, float64(result.T.Nanoseconds())/float64(result.N)/1000)
	}
	time1("member change: new snapshot, digest and ring", func() {
		next := board.NewMembers(members.Self, maps.Clone(members.ByInstance))
		_, _ = decide.Digest(next)
		_ = decide.NewRing(next)
	})
	time1("digest", func() { _, _ = decide.Digest(members) })
	time1("pickers of all services", func() { _ = buildPickers(table0) })
	picker := pickers[serviceName(0)]
	now, n := time.Now(), uint64(0)
	time1("pick", func() {
		n += 0x9e3779b97f4a7c15
		_ = picker.Pick(&board.PickRequest{Now: now, Random: n})
	})
}

// designMembers returns the members of the design size.
func designMembers() *board.Members {
	byInstance := map[board.InstanceID]board.Member{}
	for i := range designSize {
		id := board.InstanceID(fmt.Sprintf("node-%03d", i))
		byInstance[id] = board.Member{
			Instance: id, Incarnation: 1, Sequence: 1, Service: serviceName(i),
			Region: fmt.Sprintf("region-%d", i%domains%regions), FailureDomain: fmt.Sprintf("domain-%d", i%domains),
			PeerAddr: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250), State: board.MemberServing, Slots: 10, Connections: 200,
		}
	}
	return board.NewMembers("node-000", byInstance)
}

func loadTable(members *board.Members) *board.EndpointTable {
	cells := map[board.InstanceID]*board.Endpoint{}
	for id, m := range members.ByInstance {
		cells[id] = board.NewEndpoint(m)
		cells[id].UpdateLoadReport(board.LoadReport{InFlight: 3, Limit: 10, LatencyMicros: 5000, ReceivedAt: time.Now()})
	}
	return &board.EndpointTable{ByInstance: cells}
}

func buildPickers(table *board.EndpointTable) map[string]board.Picker {
	cells := map[string][]*board.Endpoint{}
	for _, cell := range table.ByInstance {
		cells[cell.Member.Service] = append(cells[cell.Member.Service], cell)
	}
	pickers := map[string]board.Picker{}
	for name, list := range cells {
		pickers[name] = pick.New("hotcold", pick.Input{
			Endpoints: list, FailureDomain: "domain-0", Balancing: dynconf.Default().Balancing,
		})
	}
	return pickers
}

// measuredRecords is the number of key records whose memory is measured.
const measuredRecords = 50_000

// measureKeyRecords adds the memory of a home's record of a key and of one
// with a response of 200 bytes, as the executor keeps it.
func measureKeyRecords(table *results) {
	granted := board.KeyRecord{State: board.KeyGranted, Executor: "node-001", ExecutorIncarnation: 1, Grant: 1}
	table.single("key record at the home", "bytes", 1, recordBytes(granted))
	done := granted
	done.State = board.KeyDone
	table.single("key record with a response of 200 bytes", "bytes", 1, recordBytes(done))
}

func recordBytes(form board.KeyRecord) float64 {
	before := heap()
	keys := board.NewKeyTables()
	for range measuredRecords {
		record := form
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
	used := heap() - before
	runtime.KeepAlive(keys)
	return used / measuredRecords
}

// heap returns the bytes of live objects.
func heap() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
