package quota

// cursorStep is the distance between the cursors of two reporters.
const cursorStep = 61

// rotation is a set of teams that successive answers name in turn, so that a bounded answer
// leaves out none of them for good.
type rotation struct {
	teams    []string
	position map[string]int
}

func newRotation() *rotation {
	return &rotation{position: map[string]int{}}
}

func (r *rotation) add(team string) {
	if _, ok := r.position[team]; !ok {
		r.position[team] = len(r.teams)
		r.teams = append(r.teams, team)
	}
}

func (r *rotation) remove(team string) {
	i, ok := r.position[team]
	if !ok {
		return
	}
	last := len(r.teams) - 1
	r.teams[i] = r.teams[last]
	r.position[r.teams[i]] = i
	r.teams = r.teams[:last]
	delete(r.position, team)
}

// next returns up to maxShares teams that are not among the named ones. It starts at the given
// cursor and returns the cursor for the next call.
func (r *rotation) next(cursor int, named map[string]bool) ([]string, int) {
	var teams []string
	for range len(r.teams) {
		if len(teams) == maxShares {
			break
		}
		if team := r.teams[cursor%len(r.teams)]; !named[team] {
			teams = append(teams, team)
		}
		cursor++
	}
	return teams, cursor
}

// firstCursor returns the cursor for the first answer to one more reporter. Cursors differ, so
// that a team that becomes limited is soon known to a part of the nodes at least.
func firstCursor(reporters int) int {
	return reporters * cursorStep
}
