package config

import (
	"context"
	"slices"

	"github.com/dandelionfield/dandelionfield/internal/plat"
	"github.com/dandelionfield/dandelionfield/internal/relaypb"
)

// Plan returns the newest known owner plan of a service, or version 0 if none is known.
// The caller must not modify the document.
func (c *Controller) Plan(service string) (document []byte, version int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.plans[service]
	return known.document, known.version
}

// Plans returns the versions of all known owner plans, by service.
func (c *Controller) Plans() []*relaypb.PlanVersion {
	c.mu.Lock()
	defer c.mu.Unlock()
	versions := make([]*relaypb.PlanVersion, 0, len(c.plans))
	for _, service := range sortedKeys(c.plans) {
		versions = append(versions, &relaypb.PlanVersion{Service: service, Version: c.plans[service].version})
	}
	return versions
}

// OfferPlan stores an owner plan if it is newer than the known one, and reports whether
// it did. If the row is newer but the plan in it is older, as in a copy from which the
// platform was restored, the known plan stays, and RestorePlan writes it again.
func (c *Controller) OfferPlan(service string, document []byte, version int64) bool {
	c.mu.Lock()
	known := c.plans[service]
	newer := version > known.version
	lost := newer && c.isOlderPlan(document, known)
	switch {
	case lost:
		c.plans[service] = plan{document: known.document, version: version, lost: true}
	case newer:
		c.plans[service] = plan{document: slices.Clone(document), version: version}
	}
	c.mu.Unlock()
	if lost {
		return false
	}
	if newer && c.OnPlan != nil {
		c.OnPlan(service, document, version)
	}
	return newer
}

// ObservePlans fetches the owner plans of which the node at the address has a newer
// version.
func (c *Controller) ObservePlans(ctx context.Context, from string, versions []*relaypb.PlanVersion) {
	var services []string
	for _, announced := range versions {
		if _, version := c.Plan(announced.GetService()); announced.GetVersion() > version {
			services = append(services, announced.GetService())
		}
	}
	if len(services) > 0 {
		c.fetchSoon(ctx, from, services)
	}
}

// CommitPlan replaces the owner plan of a service if its version is still the expected
// one (0 for none), and returns the new version. It returns Conflict if another plan is
// stored, and Unresolved if the outcome is unknown; the same CommitPlan may then be
// repeated.
func (c *Controller) CommitPlan(ctx context.Context, service string, document []byte, expected int64) (version int64, err error) {
	if service == c.Service {
		c.mu.Lock()
		c.promised = promise{document: document, generation: c.Generation()}
		c.mu.Unlock()
	}
	id := writeID("owners-"+service, Digest(document), expected)
	change := plat.Change{Key: service, Value: document, Expected: expected}
	version, err = c.store.Commit(ctx, plat.Write{Table: plansTable, ID: id, Changes: []plat.Change{change}})
	switch {
	case isConflict(err):
		c.forgetPromise(service)
		return 0, Conflict.Wrap(err, "the owner plan of %s has changed", service)
	case err != nil:
		return 0, Unresolved.Wrap(err, "whether the owner plan of %s was replaced is not known", service)
	}
	c.OfferPlan(service, document, version)
	return version, nil
}

// PollPlan reads the owner plan of the node's own service.
func (c *Controller) PollPlan(ctx context.Context) error {
	if c.Service == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	row, err := c.store.Get(ctx, plansTable, c.Service)
	if err != nil {
		return err
	}
	if row.Version == 0 {
		c.planRowAbsent(c.Service)
		return nil
	}
	c.OfferPlan(c.Service, row.Value, row.Version)
	return nil
}

// forgetPromise drops the plan that this node tried to commit, once it is known that the plan
// did not take effect.
func (c *Controller) forgetPromise(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if service == c.Service {
		c.promised = promise{}
	}
}

// OfferPromisedPlan takes the last plan that this node tried to commit for the known one, if
// the outcome was not learned before the platform was restored. The plan may have taken effect
// before its row was lost, so it is only left out if it is known to have been refused.
func (c *Controller) OfferPromisedPlan() {
	c.mu.Lock()
	promised, known := c.promised, c.plans[c.Service]
	offered := plan{document: promised.document, version: known.version, lost: true}
	adopt := promised.generation < c.Generation() && c.isOlderPlan(known.document, offered)
	if adopt {
		c.plans[c.Service] = offered
	}
	c.mu.Unlock()
	if adopt && c.OnPlan != nil {
		c.OnPlan(c.Service, offered.document, offered.version)
	}
}

// RestorePlan writes the known owner plan of the node's own service again if the platform
// came back with an older one or none, and reports whether there was such a plan.
func (c *Controller) RestorePlan(ctx context.Context) (wasLost bool, err error) {
	c.mu.Lock()
	known := c.plans[c.Service]
	c.mu.Unlock()
	if !known.lost {
		return false, nil
	}
	if _, err := c.CommitPlan(ctx, c.Service, known.document, known.version); err != nil {
		return true, err
	}
	c.log.Info("plan_restored", "service", c.Service)
	return true, nil
}

func (c *Controller) isOlderPlan(document []byte, known plan) bool {
	return c.ComparePlans != nil && len(known.document) > 0 && c.ComparePlans(document, known.document) < 0
}

// planRowAbsent handles that the row of a plan is not in the table. If the known plan is from
// before a restore of the platform, its row was lost.
func (c *Controller) planRowAbsent(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.plans[service]
	if of, _ := plat.SplitVersion(known.version); known.version > 0 && of < c.Generation() {
		c.plans[service] = plan{document: known.document, lost: true}
	}
}
