package node

import "github.com/dandelionfield/dandelionfield/internal/setup"

// reload puts changed settings in force: the drain timeout. All others hold for
// the life of a process, and a change of them is logged.
func (n *Node) reload(changed *setup.Node) {
	n.drainTimeout.Store(int64(changed.DrainTimeout))
	rest := *changed
	rest.DrainTimeout = n.settings.DrainTimeout
	rest.Reloads = n.settings.Reloads
	n.log.Info("settings_reloaded", "drain_timeout", changed.DrainTimeout, "restart_needed", rest != *n.settings)
}
