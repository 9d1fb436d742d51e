package once

import "github.com/google/uuid"

// Export closes the ledger and returns its records for a handover. From then on, the ledger
// rejects fresh keys but still answers repeated ones. A key that is still running is exported
// with an unknown outcome.
func (l *Ledger[A]) Export() []Record[A] {
	l.closed = true
	records := make([]Record[A], 0, l.records)
	for _, b := range l.buckets {
		for id, r := range b.records {
			records = append(records, Record[A]{
				Key:         keyOf(id),
				Kind:        r.kind,
				RequestHash: r.requestHash,
				Unknown:     r.state != done,
				Answer:      r.answer,
				Size:        int(r.size),
			})
		}
	}
	return records
}

// Import adds records that another incarnation, named by from, exported. It returns false
// if this ledger is closed, or if from is its own incarnation. Keys that the other
// incarnation never received may run here once a plan names this incarnation as the holder
// of its records.
func (l *Ledger[A]) Import(from string, records []Record[A]) bool {
	if l.closed || from == l.self.Incarnation {
		return false
	}
	for _, imported := range records {
		l.importOne(imported)
	}
	return true
}

func (l *Ledger[A]) importOne(imported Record[A]) {
	id, err := uuid.Parse(imported.Key.Text)
	if err != nil {
		return
	}
	if r := l.find(id, imported.Key); r == nil {
		// The record is added even if it exceeds the memory bound, because the key
		// could run again without it.
		l.insert(id, imported.Key, &record[A]{
			state:       unknown,
			kind:        imported.Kind,
			requestHash: imported.RequestHash,
		})
	}
	if !imported.Unknown {
		l.Finish(l.latest, imported.Key, imported.Answer, imported.Size)
	}
}
