package node

import "github.com/dandelionfield/dandelionfield/internal/setup"

// reload applies changed settings. Only the drain timeout can change while the process
// runs; a change of any other setting is logged as one that needs a restart.
func (n *Node) reload(changed *setup.Node) {
	n.drainTimeout.Store(int64(changed.DrainTimeout))
	rest := *changed
	rest.DrainTimeout = n.settings.DrainTimeout
	rest.Reloads = n.settings.Reloads
	n.log.Info("settings_reloaded", "drain_timeout", changed.DrainTimeout, "restart_needed", rest != *n.settings)
}
