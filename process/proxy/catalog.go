package proxy

import (
	"strings"

	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/selector"
	"github.com/landingtrail/landingtrail/version/view"
)

// catalog is the routing data derived from a view. It is computed once for each
// view and immutable.
type catalog struct {
	view *view.View
	// intentByEngine maps each engine to the intent that selects it.
	intentByEngine map[string]*api.Intent
	// classesByIntent maps each intent to the classes that it serves.
	classesByIntent map[string]map[string]bool
	// classesByPriority maps each service to its classes, lowest priority first.
	classesByPriority map[string][]*api.Class
	leavingBackends   map[string]bool // backends that the platform reports as leaving or gone
}

func newCatalog(current *view.View) *catalog {
	result := &catalog{
		view:              current,
		intentByEngine:    make(map[string]*api.Intent, len(current.Engines)),
		classesByIntent:   map[string]map[string]bool{},
		classesByPriority: map[string][]*api.Class{},
		leavingBackends:   map[string]bool{},
	}
	for _, intent := range current.Intents {
		result.addIntent(intent)
	}
	for _, class := range current.Classes {
		result.classesByPriority[class.Spec.Service] = append(result.classesByPriority[class.Spec.Service], class)
	}
	for _, classes := range result.classesByPriority {
		sortClasses(classes)
	}
	for _, service := range current.Services {
		// The capacity is limited to the length, so that append copies and leaves the view
		// unchanged.
		for _, name := range append(service.Status.Leaving[:len(service.Status.Leaving):len(service.Status.Leaving)], service.Status.Gone...) {
			result.leavingBackends[name] = true
		}
	}
	return result
}

// addIntent adds the engines and classes of an intent. The control group rejects
// intents that select the same engine with conflicting specs. If several intents
// select it without a conflict, the first by name is used.
func (c *catalog) addIntent(intent *api.Intent) {
	for name, engine := range c.view.Engines {
		if !selector.Matches(intent.Spec.Engines, engine.Labels) {
			continue
		}
		if other := c.intentByEngine[name]; other == nil || intent.Name < other.Name {
			c.intentByEngine[name] = intent
		}
	}
	served := map[string]bool{}
	for name, class := range c.view.Classes {
		if selector.Matches(intent.Spec.Classes, class.Labels) {
			served[name] = true
		}
	}
	c.classesByIntent[intent.Name] = served
}

// serves reports whether the engine's intent serves the class. An engine without
// an intent serves no class.
func (c *catalog) serves(engine, class string) bool {
	intent := c.intentByEngine[engine]
	return intent != nil && c.classesByIntent[intent.Name][class]
}

// intentFor returns the name of the intent that serves the model to the class, the first by name if
// there are several, or "" if there is none.
func (c *catalog) intentFor(model, class string) string {
	found := ""
	for name, intent := range c.view.Intents {
		if !intentServesModel(intent, model) || !c.classesByIntent[name][class] {
			continue
		}
		if found == "" || name < found {
			found = name
		}
	}
	return found
}

// intentServesModel reports whether the intent serves the model, given as "model" or "model:adapter".
func intentServesModel(intent *api.Intent, model string) bool {
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

// servesModel reports whether any intent serves the model.
func (c *catalog) servesModel(model string) bool {
	for _, intent := range c.view.Intents {
		if intentServesModel(intent, model) {
			return true
		}
	}
	return false
}

// defaultModelClass returns the class of a request that names none: the class of
// the lowest priority that an intent with the model serves.
func (c *catalog) defaultModelClass(model string) *api.Class {
	var found *api.Class
	for name, intent := range c.view.Intents {
		if !intentServesModel(intent, model) {
			continue
		}
		for class := range c.classesByIntent[name] {
			candidate := c.view.Classes[class]
			if found == nil || lowerPriority(candidate, found) {
				found = candidate
			}
		}
	}
	return found
}

// modelNames returns the model names that requests can use.
func (c *catalog) modelNames() []string {
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

// lowerPriority reports whether a comes before b in order of priority, lowest first, and name.
func lowerPriority(a, b *api.Class) bool {
	if a.Spec.Priority != b.Spec.Priority {
		return a.Spec.Priority < b.Spec.Priority
	}
	return a.Name < b.Name
}
