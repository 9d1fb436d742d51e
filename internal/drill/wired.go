package drill

import (
	"cmp"
	"fmt"
	"slices"
)

// platformWire is how the wire between a region and the platform is named.
const platformWire = "platform-%s"

// region returns the region of a host.
func (l *Layout) region(host Host) string {
	return cmp.Or(l.Regions[host.DataCentre], l.Region)
}

// regions returns the names of the regions that have hosts, in order.
func (l *Layout) regions() []string {
	hosts := l.Hosts()
	names := make([]string, 0, len(hosts))
	for _, host := range hosts {
		names = append(names, l.region(host))
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// wires returns the settings of all wires: those between nodes, and those
// between a region and the platform.
func (l *Layout) wires() []WireConfig {
	var wires []WireConfig
	for _, host := range l.Hosts() {
		if l.wired(host) {
			wires = append(wires, l.wire(host))
		}
	}
	if !l.AllWires {
		return wires
	}
	for _, region := range l.regions() {
		wires = append(wires, l.platformWire(region))
	}
	return wires
}

func (l *Layout) wired(host Host) bool {
	return l.AllWires || slices.Contains(l.Wires, host.Name)
}

// wire is the wire before the node of a host.
func (l *Layout) wire(host Host) WireConfig {
	config := WireConfig{
		Name:          host.Name,
		Listen:        l.address(host.IP, wirePort),
		To:            l.address(host.IP, relayPort),
		ControlListen: l.address(host.IP, wireControlPort),
		Hosts:         map[string]string{},
	}
	for _, other := range l.Hosts() {
		config.Hosts[other.IP] = other.Name
	}
	return config
}

// platformWire is the wire between the nodes of a region and the platform.
func (l *Layout) platformWire(region string) WireConfig {
	ip := fmt.Sprintf("%s.%d", l.Network, platformHost)
	port := platformWirePort + 2*slices.Index(l.regions(), region)
	return WireConfig{
		Name:          fmt.Sprintf(platformWire, region),
		Listen:        l.address(ip, port),
		To:            l.PlatformAddress(),
		ControlListen: l.address(ip, port+1),
	}
}

// wiredNode puts the wires of a layout into the settings of a node. Where there
// are wires, calls go out from the host's own address, so that a wire can tell
// the hosts apart.
func (l *Layout) wiredNode(host Host, settings nodeSettings) nodeSettings {
	if l.AllWires || len(l.Wires) > 0 {
		settings.RelayFrom = host.IP
	}
	if l.wired(host) {
		settings.RelayAddress = l.wire(host).Listen
	}
	if l.AllWires {
		settings.PlatformAddress = l.platformWire(l.region(host)).Listen
	}
	return settings
}
