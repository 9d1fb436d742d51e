package once

import "github.com/google/uuid"

// Export closes the ledger and returns its records for a handover. Fresh keys
// are refused from then on, while repeats are still answered. A key that is
// still running is exported as unknown.
func (l *Ledger[A]) Export() []Record[A] {
	l.closed = true
	records := make([]Record[A], 0, l.records)
	for _, m := range l.minutes {
		for id, r := range m.records {
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

// Import takes in records of the ledger of another incarnation. It returns
// false when this ledger is itself closed, or is the one that the records come
// from. The keys that from never saw may run here once a plan names this
// incarnation as the keeper of its records.
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
		// The record goes in above the bound too: without it the key could
		// run again.
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
