package bench

import (
	"cmp"
	"fmt"
	"slices"
)

// platformWireNameFormat is the format of the name of the wire between a region and the
// platform.
const platformWireNameFormat = "platform-%s"

// region returns the region of a host.
func (l *Layout) region(host Host) string {
	return cmp.Or(l.Regions[host.DataCentre], l.Region)
}

// regions returns the sorted names of the regions that have hosts.
func (l *Layout) regions() []string {
	hosts := l.Hosts()
	names := make([]string, 0, len(hosts))
	for _, host := range hosts {
		names = append(names, l.region(host))
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// wireConfigs returns the settings of all wires: those in front of nodes, and those
// between a region and the platform.
func (l *Layout) wireConfigs() []WireConfig {
	var wires []WireConfig
	for _, host := range l.Hosts() {
		if l.hasWire(host) {
			wires = append(wires, l.wireConfig(host))
		}
	}
	if !l.AllWires {
		return wires
	}
	for _, region := range l.regions() {
		wires = append(wires, l.platformWireConfig(region))
	}
	return wires
}

func (l *Layout) hasWire(host Host) bool {
	return l.AllWires || slices.Contains(l.Wires, host.Name)
}

// wireConfig returns the settings of the wire in front of the node of a host.
func (l *Layout) wireConfig(host Host) WireConfig {
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

// platformWireConfig returns the settings of the wire between the nodes of a region and
// the platform.
func (l *Layout) platformWireConfig(region string) WireConfig {
	ip := fmt.Sprintf("%s.%d", l.Network, platformHostNumber)
	port := platformWirePort + 2*slices.Index(l.regions(), region)
	return WireConfig{
		Name:          fmt.Sprintf(platformWireNameFormat, region),
		Listen:        l.address(ip, port),
		To:            l.PlatformAddress(),
		ControlListen: l.address(ip, port+1),
	}
}

// withWires returns the settings of a node with the addresses of the layout's wires. If
// the layout has wires, calls originate from the host's own address, so that a wire can
// tell which host a connection comes from.
func (l *Layout) withWires(host Host, settings nodeSettings) nodeSettings {
	if l.AllWires || len(l.Wires) > 0 {
		settings.RelayFrom = host.IP
	}
	if l.hasWire(host) {
		settings.RelayAddress = l.wireConfig(host).Listen
	}
	if l.AllWires {
		settings.PlatformAddress = l.platformWireConfig(l.region(host)).Listen
	}
	return settings
}
