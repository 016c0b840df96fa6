package atmostonce_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"mangostand.example/mangostand/pkg/atmostonce"
	"mangostand.example/mangostand/pkg/board"
	"mangostand.example/mangostand/pkg/decide/keyhome"
	"mangostand.example/mangostand/pkg/wire"
)

// scriptedHome responds to claims by a function and to no other message before the
// context ends.
type scriptedHome struct {
	slowPeers
	respond func(*wire.Claim) (*wire.ClaimResponse, error)
}

func (h *scriptedHome) Claim(_ context.Context, _ board.EpochMember, m *wire.Claim) (*wire.ClaimResponse, error) {
	return h.respond(m)
}

func (h *scriptedHome) Transfer(ctx context.Context, _ board.EpochMember, _ *wire.Transfer) (*wire.TransferPage, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// movedKeyNode is n0, the entry of a call and the home of its key in epoch 2. In
// epoch 1 the home is n1, which is scripted.
type movedKeyNode struct {
	*singleNode
	home *scriptedHome
	key  string
}

func newMovedKeyNode() *movedKeyNode {
	home := &scriptedHome{}
	n := &movedKeyNode{singleNode: newSingleNodeWithPeers(home), home: home}
	epoch := n.publishEpoch(1, nil, nil, "n0", "n1", "n2")
	n.key = generateKeyWithHome(epoch.Members, "n1")
	for !homeIs("n0", epochMembers("n0", "n2"), n.key) || !homeIs("n1", epochMembers("n1", "n2"), n.key) {
		n.key = generateKeyWithHome(epoch.Members, "n1")
	}
	return n
}

func homeIs(instance board.InstanceID, members []board.EpochMember, key string) bool {
	home, _ := keyhome.Home(members, keyID(key))
	return home.Instance == instance
}

// changeEpoch publishes epoch 2, in which records of n1 may have been lost if the
// horizon is not zero.
func (n *movedKeyNode) changeEpoch(horizon time.Time) {
	former := board.FormerEpoch{Members: epochMembers("n0", "n1", "n2")}
	transfers := map[board.InstanceID]board.TransferState{"n1": {Horizon: horizon}}
	n.publishEpoch(2, []board.FormerEpoch{former}, []map[board.InstanceID]board.TransferState{transfers}, "n0", "n2")
}

func (n *movedKeyNode) loseRecords() { n.changeEpoch(time.Now().Add(10 * time.Second)) }

type sendFunc func() (board.Outcome, board.Reason)

func succeed() (board.Outcome, board.Reason) { return board.OutcomeSucceeded, "" }

// invoke sends a call with a generated key at n0. Its attempts have the results of
// the given functions.
func (n *movedKeyNode) invoke(t *testing.T, sends ...sendFunc) atmostonce.Result {
	return n.Invoke(t.Context(), &atmostonce.Call{
		ID: keyID(n.key), RequestDigest: "d", RequestID: newKey(), KeyGenerated: true, MaxAttempts: 3,
		PickExecutor: func([]board.InstanceID) (board.InstanceID, uint64, bool) { return "n2", 1, true },
		Send: func(context.Context, uint64, uint64, int) (board.Outcome, board.Reason) {
			send := sends[0]
			sends = sends[1:]
			return send()
		},
	})
}

func granted(*wire.Claim) (*wire.ClaimResponse, error) {
	return &wire.ClaimResponse{Status: wire.ClaimGranted, Epoch: 1, Grant: 1 << 16}, nil
}

// Guards against a call with a generated key that is reported as unknown because the
// epoch changed before the call was sent, or after it was refused with proof. The
// lost records of its key are of no importance. node.TestDrainAndRestartUnderLoad
// failed for this reason.
func TestLostRecordsDoNotMatterForAKeyThatIsNotUsed(t *testing.T) {
	refusals := map[string]struct {
		claim func(n *movedKeyNode) (*wire.ClaimResponse, error)
		sends func(n *movedKeyNode) []sendFunc
	}{
		"the home has adopted the next epoch": {
			claim: func(n *movedKeyNode) (*wire.ClaimResponse, error) {
				n.loseRecords()
				return &wire.ClaimResponse{Status: wire.ClaimStaleEpoch, Reason: board.ReasonStaleEpoch, Epoch: 2}, nil
			},
			sends: func(*movedKeyNode) []sendFunc { return []sendFunc{succeed} },
		},
		"the response of the home is lost": {
			claim: func(n *movedKeyNode) (*wire.ClaimResponse, error) {
				n.loseRecords()
				return nil, errors.New("connection lost")
			},
			sends: func(*movedKeyNode) []sendFunc { return []sendFunc{succeed} },
		},
		"the executor has adopted the next epoch": {
			claim: func(*movedKeyNode) (*wire.ClaimResponse, error) { return granted(nil) },
			sends: func(n *movedKeyNode) []sendFunc {
				refuse := func() (board.Outcome, board.Reason) {
					n.loseRecords()
					return board.OutcomeNotRun, board.ReasonStaleEpoch
				}
				return []sendFunc{refuse, succeed}
			},
		},
	}
	for name, refusal := range refusals {
		t.Run(name, func(t *testing.T) {
			runWithFakeClock(t, func(t *testing.T) {
				n := newMovedKeyNode()
				n.home.respond = func(*wire.Claim) (*wire.ClaimResponse, error) { return refusal.claim(n) }
				requireResult(t, n.invoke(t, refusal.sends(n)...), board.OutcomeSucceeded, "")
			})
		})
	}
}

// Guards against a second execution of a generated key whose records are lost after
// a call of it got no response.
func TestLostRecordsMatterForAKeyThatMayHaveBeenUsed(t *testing.T) {
	runWithFakeClock(t, func(t *testing.T) {
		n := newMovedKeyNode()
		n.home.respond = granted
		loseResponse := func() (board.Outcome, board.Reason) {
			n.loseRecords()
			return board.OutcomeUnknown, board.ReasonConnectionLost
		}
		requireResult(t, n.invoke(t, loseResponse), board.OutcomeUnknown, board.ReasonKeyRecordLost)
	})
}

// Guards against a home that reports a generated key as unknown because it has the
// record of a grant that its former home withheld.
func TestTransferredGrantOfAKeyThatIsNotUsed(t *testing.T) {
	for _, isNew := range []bool{true, false} {
		runWithFakeClock(t, func(t *testing.T) {
			n := newMovedKeyNode()
			n.publishEpoch(1, nil, nil, "n0")
			claim := newClaim(n.key, 1, "n0")
			claim.KeyIsNew = isNew
			require.Equal(t, wire.ClaimGranted, n.HandleClaim(t.Context(), claim).Status)
			n.loseRecords()
			claim.Epoch, claim.ClaimSequence, claim.Executor = 2, 2, "n2"
			response := n.HandleClaim(t.Context(), claim)
			if isNew {
				require.Equal(t, wire.ClaimGranted, response.Status, response.Reason)
				return
			}
			require.Equal(t, wire.ClaimOutcomeUnknown, response.Status)
			require.Equal(t, board.ReasonKeyRecordLost, response.Reason)
		})
	}
}

// Guards against a home that proves not-run with the record of a grant although a
// later grant may have been lost.
func TestLookupWithOutdatedRecordProvesNothing(t *testing.T) {
	for _, sameRequest := range []bool{true, false} {
		runWithFakeClock(t, func(t *testing.T) {
			n := newMovedKeyNode()
			n.publishEpoch(1, nil, nil, "n0")
			claim := newClaim(n.key, 1, "n0")
			granted := n.HandleClaim(t.Context(), claim)
			require.Equal(t, wire.ClaimGranted, granted.Status)
			n.SealRefusedCall(newCall(n.key, 1, granted.Grant))
			n.loseRecords()
			claim.Epoch, claim.ClaimSequence, claim.LookupOnly = 2, 2, true
			if !sameRequest {
				claim.RequestID = newKey()
			}
			response := n.HandleClaim(t.Context(), claim)
			require.Equal(t, wire.ClaimOutcomeUnknown, response.Status)
			require.Equal(t, board.ReasonKeyRecordLost, response.Reason)
		})
	}
}

// Guards against not-run that is reported as unknown because the epoch of the home's
// response ended before it was confirmed, and against not-run that the home of the
// next epoch does not prove. node.TestCrashingBookingIsQuarantinedAcrossKeys failed
// for the first reason.
func TestEpochEndsBeforeNotRunIsConfirmed(t *testing.T) {
	cases := map[string]struct {
		change  func(n *movedKeyNode)
		outcome board.Outcome
		reason  board.Reason
	}{
		"not run":        {func(n *movedKeyNode) { n.changeEpoch(time.Time{}) }, board.OutcomeNotRun, board.ReasonNoServer},
		"record is lost": {(*movedKeyNode).loseRecords, board.OutcomeUnknown, board.ReasonKeyRecordLost},
		"executed": {func(n *movedKeyNode) {
			n.Board.Keys.HomeRecords.Insert(keyID(n.key), &board.KeyRecord{
				State: board.KeyDone, RequestDigest: "d", Outcome: board.OutcomeSucceeded, ExpiresAt: time.Now().Add(time.Minute),
			}, 1<<20)
			n.changeEpoch(time.Time{})
		}, board.OutcomeSucceeded, ""},
		"the next home does not respond": {func(n *movedKeyNode) {
			n.home.respond = func(*wire.Claim) (*wire.ClaimResponse, error) { return nil, errors.New("connection lost") }
			n.publishEpoch(2, nil, nil, "n1", "n2")
		}, board.OutcomeUnknown, board.ReasonKeyHomeUnavailable},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			runWithFakeClock(t, func(t *testing.T) {
				n := newMovedKeyNode()
				n.home.respond = func(*wire.Claim) (*wire.ClaimResponse, error) {
					time.AfterFunc(50*time.Millisecond, func() { c.change(n) })
					return &wire.ClaimResponse{Status: wire.ClaimNotFound, Epoch: 1}, nil
				}
				result := n.Invoke(t.Context(), &atmostonce.Call{
					ID: keyID(n.key), RequestDigest: "d", RequestID: newKey(), MaxAttempts: 1,
					PickExecutor: func([]board.InstanceID) (board.InstanceID, uint64, bool) { return "", 0, false },
				})
				requireResult(t, result, c.outcome, c.reason)
			})
		})
	}
}

// Guards against a call that is refused because it came while its entry or its home
// had no epoch of the service yet, and against one that waits for an epoch without
// a limit. node.TestDrainAndRestartUnderLoad failed for the first reason.
func TestCallWaitsForTheFirstEpoch(t *testing.T) {
	cases := map[string]struct {
		missingAtHome bool
		delay         time.Duration
		outcome       board.Outcome
	}{
		"entry":          {false, 4500 * time.Millisecond, board.OutcomeSucceeded},
		"home":           {true, 4500 * time.Millisecond, board.OutcomeSucceeded},
		"entry, limited": {false, 6 * time.Second, board.OutcomeNotRun},
		"home, limited":  {true, 6 * time.Second, board.OutcomeNotRun},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			runWithFakeClock(t, func(t *testing.T) {
				home := &scriptedHome{}
				n := &movedKeyNode{singleNode: newSingleNodeWithPeers(home), home: home, key: generateKeyWithHome(epochMembers("n0", "n1", "n2"), "n1")}
				started := time.Now()
				home.respond = func(*wire.Claim) (*wire.ClaimResponse, error) {
					if c.missingAtHome && time.Since(started) < c.delay {
						return &wire.ClaimResponse{Status: wire.ClaimRefused, Reason: board.ReasonKeyHomeUnavailable}, nil
					}
					return granted(nil)
				}
				publish := func() { n.publishEpoch(1, nil, nil, "n0", "n1", "n2") }
				if c.missingAtHome {
					publish()
				} else {
					time.AfterFunc(c.delay, publish)
				}
				result := n.invoke(t, succeed)
				require.Equal(t, c.outcome, result.Outcome, result.Reason)
				if c.outcome == board.OutcomeNotRun {
					require.Equal(t, board.ReasonKeyHomeUnavailable, result.Reason)
					require.LessOrEqual(t, time.Since(started), 5500*time.Millisecond)
					time.Sleep(time.Second)
				}
			})
		})
	}
}

// Guards against not-run for want of a backend server while the only ones available
// belong to instances that the next epoch will contain, and against an available
// member of the epoch that is not found among them.
// node.TestCrashingBookingIsQuarantinedAcrossKeys failed for the first reason.
func TestCallWaitsForAnExecutorThatJoinsTheEpoch(t *testing.T) {
	cases := map[string]struct {
		available []board.InstanceID
		joinAfter time.Duration
		outcome   board.Outcome
		reason    board.Reason
		waits     bool
	}{
		"joins":                      {[]board.InstanceID{"n8", "n9"}, 2 * time.Second, board.OutcomeSucceeded, "", true},
		"does not join":              {[]board.InstanceID{"n8", "n9"}, time.Minute, board.OutcomeNotRun, board.ReasonNoServer, true},
		"a member is the last":       {[]board.InstanceID{"n5", "n6", "n7", "n8", "n9", "n2"}, time.Minute, board.OutcomeSucceeded, "", false},
		"no executor is available":   {nil, time.Minute, board.OutcomeNotRun, board.ReasonNoServer, false},
		"only the home is available": {[]board.InstanceID{"n1"}, time.Minute, board.OutcomeNotRun, board.ReasonNoServer, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			runWithFakeClock(t, func(t *testing.T) {
				n := newMovedKeyNode()
				started := time.Now()
				n.home.respond = func(claim *wire.Claim) (*wire.ClaimResponse, error) {
					if claim.LookupOnly {
						return &wire.ClaimResponse{Status: wire.ClaimNotFound, Epoch: 1}, nil
					}
					return granted(nil)
				}
				timer := time.AfterFunc(c.joinAfter, func() { n.publishEpoch(2, nil, nil, "n0", "n1", "n2", "n9") })
				n.key = generateKeyWithHome(epochMembers("n0", "n1", "n2", "n9"), "n1")
				result := n.Invoke(t.Context(), &atmostonce.Call{
					ID: keyID(n.key), RequestDigest: "d", RequestID: newKey(), KeyGenerated: true, MaxAttempts: 3,
					PickExecutor: func(exclude []board.InstanceID) (board.InstanceID, uint64, bool) {
						for _, id := range c.available {
							if !slices.Contains(exclude, id) {
								return id, 1, true
							}
						}
						return "", 0, false
					},
					Send: func(context.Context, uint64, uint64, int) (board.Outcome, board.Reason) { return succeed() },
				})
				timer.Stop()
				requireResult(t, result, c.outcome, c.reason)
				require.Equal(t, c.waits, time.Since(started) > time.Second)
				require.LessOrEqual(t, time.Since(started), 5500*time.Millisecond)
			})
		})
	}
}

// Guards against a call that is refused at the first claim that its home does not
// respond to, because it has waited for the first epoch before.
func TestWaitForAnEpochDoesNotCountAsUnavailableHome(t *testing.T) {
	runWithFakeClock(t, func(t *testing.T) {
		home := &scriptedHome{}
		n := &movedKeyNode{singleNode: newSingleNodeWithPeers(home), home: home, key: generateKeyWithHome(epochMembers("n0", "n1", "n2"), "n1")}
		failures := 1
		home.respond = func(*wire.Claim) (*wire.ClaimResponse, error) {
			if failures--; failures >= 0 {
				return nil, errors.New("connection lost")
			}
			return granted(nil)
		}
		time.AfterFunc(3*time.Second, func() { n.publishEpoch(1, nil, nil, "n0", "n1", "n2") })
		requireResult(t, n.invoke(t, succeed), board.OutcomeSucceeded, "")
	})
}
