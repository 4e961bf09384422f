package cells

import (
	"testing"

	"damsonscale/internal/lab/golden"
	"damsonscale/internal/takeover"
)

// Messages and kinds must encode to the bytes recorded in testdata/messages.json as of commit 2029d41: they are stored in logs and exchanged
// between versions.
func TestMessageEncodingIsUnchanged(t *testing.T) {
	member := takeover.Member{Name: "a", Incarnation: 31}
	version := Version{Term: 2, Index: 3}
	global := GlobalState{Settings: 5, Fence: 4, ChangedAt: version}
	slot := MemberSlot{Name: "a", Address: "a:1", Zone: "z", MoveIndex: 6, From: 7, To: 8, ToMoveIndex: 9, FormerCells: []ID{10, 11}, Removed: true}
	contact := Contact{Cell: 12, Addresses: []string{"b:1", "c:1"}}
	record := CellRecord{
		ID: 13, Region: "r", ChangedAt: version, PendingSuccessors: []ID{14}, Successors: []ID{15, 16}, Sealed: true, FinalEpoch: 17, Slots: []MemberSlot{slot}, Contacts: []Contact{contact},
	}
	update := DirectoryUpdate{Version: version, Global: global, Record: &record, RecordSum: 18}
	departure := Departure{Cell: 19, Epoch: 20, Member: member, To: 21, MoveIndex: 22}
	certificate := Certificate{Departure: departure, Earlier: []Departure{departure}, Global: global}
	messages := map[string]any{
		"version": version, "global": global, "seat": slot, "contact": contact, "part": record, "told": update, "told without a part": DirectoryUpdate{RecordSum: 18},
		"departure": departure, "certificate": certificate, "nowhere": RemovedID,
		"command": Command{
			Kind: Move, ID: 23, Region: "r", Cell: 24, Cells: []ID{25, 26}, Slots: []MemberSlot{slot}, Names: []string{"a", "b"}, At: version, Epoch: 27, Number: 28,
		},
		"delta": Delta{
			Region: "r", Since: version, To: Version{Term: 4, Index: 5}, Complete: true, More: true, Global: global, Records: []*CellRecord{&record}, Tombstones: []ID{29}, Digest: 30,
		},
		"entry": Entry{Kind: Join, Update: &update, Member: member, Certificate: &certificate, MoveIndex: 31},
		"ask":   LeaseRequest{Cell: 32, Member: member, SentMicros: 33, ActiveSettings: 34, Epoch: 35},
		"grant": LeaseGrant{Cell: 32, Member: member, RequestSentMicros: 33, Epoch: 35},
		"pull":  DeltaRequest{Region: "r", Since: version, From: Version{Term: 4, Index: 5}, Complete: true},
	}
	for name, kind := range map[string]CommandKind{
		"open": Open, "assign": Assign, "remove": Remove, "gone": Removed, "move": Move, "split": Split, "merge": Merge, "ready": Ready, "arrived": Arrived,
		"sealed": Sealed, "target": SetTarget, "fence": SetFence, "forget": Forget,
	} {
		messages["command kind "+name] = kind
	}
	for name, kind := range map[string]EntryKind{
		"hear": UpdateDirectory, "join": Join, "out": Evict, "leave": Depart, "seal": Seal, "expect": ExpectMember, "drop": ForgetDeparture,
	} {
		messages["entry kind "+name] = kind
	}
	golden.CheckCBOR(t, "testdata/messages.json", messages)
}
