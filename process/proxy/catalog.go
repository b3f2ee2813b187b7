package proxy

import (
	"strings"

	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/selector"
	"github.com/landingtrail/landingtrail/version/view"
)

// catalog is what a view means for routing, worked out once for each view and
// immutable from then on.
type catalog struct {
	view *view.View
	// intents holds the intent that selects each engine.
	intents map[string]*api.Intent
	// classes holds the classes that each intent serves.
	classes map[string]map[string]bool
	// classOrder holds the classes of each service, lowest priority first.
	classOrder map[string][]*api.Class
	leaving    map[string]bool // back ends on the platform's list of leaving or gone
}

func newCatalog(current *view.View) *catalog {
	made := &catalog{
		view:       current,
		intents:    make(map[string]*api.Intent, len(current.Engines)),
		classes:    map[string]map[string]bool{},
		classOrder: map[string][]*api.Class{},
		leaving:    map[string]bool{},
	}
	for _, intent := range current.Intents {
		made.addIntent(intent)
	}
	for _, class := range current.Classes {
		made.classOrder[class.Spec.Service] = append(made.classOrder[class.Spec.Service], class)
	}
	for _, classes := range made.classOrder {
		sortClasses(classes)
	}
	for _, service := range current.Services {
		for _, name := range append(service.Status.Leaving[:len(service.Status.Leaving):len(service.Status.Leaving)], service.Status.Gone...) {
			made.leaving[name] = true
		}
	}
	return made
}

// addIntent notes the engines and classes of an intent. No two intents select
// the same engine with different wishes: the control group refuses that. If
// they agree, the one with the lower name counts.
func (c *catalog) addIntent(intent *api.Intent) {
	for name, engine := range c.view.Engines {
		if !selector.Matches(intent.Spec.Engines, engine.Labels) {
			continue
		}
		if other := c.intents[name]; other == nil || intent.Name < other.Name {
			c.intents[name] = intent
		}
	}
	served := map[string]bool{}
	for name, class := range c.view.Classes {
		if selector.Matches(intent.Spec.Classes, class.Labels) {
			served[name] = true
		}
	}
	c.classes[intent.Name] = served
}

// serves reports whether the engine's intent serves the class; engines that no
// intent selects any more serve none.
func (c *catalog) serves(engine, class string) bool {
	intent := c.intents[engine]
	return intent != nil && c.classes[intent.Name][class]
}

// intentFor returns the name of the intent that serves the model to the class,
// or "" if there is none.
func (c *catalog) intentFor(model, class string) string {
	found := ""
	for name, intent := range c.view.Intents {
		if !offers(intent, model) || !c.classes[name][class] {
			continue
		}
		if found == "" || name < found {
			found = name
		}
	}
	return found
}

// offers reports whether the intent serves the model as a caller named it.
func offers(intent *api.Intent, model string) bool {
	base, adapter, hasAdapter := strings.Cut(model, ":")
	if intent.Spec.Model != base {
		return false
	}
	if !hasAdapter {
		return true
	}
	for _, offered := range intent.Spec.Adapters {
		if offered == adapter {
			return true
		}
	}
	return false
}

// knowsModel reports whether any intent serves the model to anybody.
func (c *catalog) knowsModel(model string) bool {
	for _, intent := range c.view.Intents {
		if offers(intent, model) {
			return true
		}
	}
	return false
}

// defaultModelClass returns the class of a request that names none: the one of
// the lowest priority that some intent with the model serves.
func (c *catalog) defaultModelClass(model string) *api.Class {
	var found *api.Class
	for name, intent := range c.view.Intents {
		if !offers(intent, model) {
			continue
		}
		for class := range c.classes[name] {
			candidate := c.view.Classes[class]
			if found == nil || classBefore(candidate, found) {
				found = candidate
			}
		}
	}
	return found
}

// models lists the names by which models can be asked for.
func (c *catalog) models() []string {
	seen := map[string]bool{}
	var names []string
	add := func(name string) {
		if !seen[name] {
			seen[name] = true
			names = append(names, name)
		}
	}
	for _, intent := range c.view.Intents {
		add(intent.Spec.Model)
		for _, adapter := range intent.Spec.Adapters {
			add(intent.Spec.Model + ":" + adapter)
		}
	}
	return names
}

func classBefore(a, b *api.Class) bool {
	if a.Spec.Priority != b.Spec.Priority {
		return a.Spec.Priority < b.Spec.Priority
	}
	return a.Name < b.Name
}
