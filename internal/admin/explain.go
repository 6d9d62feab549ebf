package admin

import (
	"context"
	"net/http"
	"strings"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/basillink/basillink/internal/control"
	"github.com/basillink/basillink/internal/gateway"
	"github.com/basillink/basillink/internal/logservice"
	"github.com/basillink/basillink/internal/reason"
	"github.com/basillink/basillink/operator"
)

// Explanation is the body of an answer to GET /explain. It lists the targets that may receive a request, or the reason
// why the request would be refused. No request is sent to a target and no counter changes.
type Explanation struct {
	Instance string `json:"instance"`
	Service  string `json:"service"`
	Method   string `json:"method"`
	// URI is the path and query that a target would receive.
	URI      string            `json:"uri"`
	Revision logservice.Offset `json:"revision"`
	// Class holds the rules of the matching class. It is nil when the request would be refused before a class is matched.
	Class *ClassRules `json:"class,omitempty"`
	// Candidates are the targets that may receive the request. The balancer picks one of them by load.
	Candidates []ExplainedTarget `json:"candidates,omitempty"`
	// Excluded lists the targets of the service that receive no requests.
	Excluded []ExplainedTarget `json:"excluded,omitempty"`
	// Refusal is the name of the reason for a refusal, and Help its description. Both are empty when the request would
	// be sent.
	Refusal string `json:"refusal,omitempty"`
	Help    string `json:"help,omitempty"`
}

// ClassRules are the rules of a class that affect callers.
type ClassRules struct {
	Name       string `json:"name"`
	Repeatable bool   `json:"repeatable"`
	// NeedsTicket is true for a class that is not repeatable. A request without a ticket is answered with status 428
	// and a ticket.
	NeedsTicket bool `json:"needs_ticket"`
	Priority    int  `json:"priority"`
	TimeoutMS   int  `json:"timeout_ms"`
	Long        bool `json:"long"`
}

// ExplainedTarget is a target of the service, either a candidate or excluded.
type ExplainedTarget struct {
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	SameZone bool   `json:"same_zone"`
	// ExclusionReason describes why the target is excluded. It is empty for a candidate.
	ExclusionReason string `json:"why,omitempty"`
}

// exclusionReason describes why a target with the given published state receives no requests.
func exclusionReason(state operator.TargetState) string {
	if state == operator.TargetLeaving {
		return "the published intent says that it is leaving"
	}
	return "it is known to have left or to be leaving, or other instances use it"
}

// handleExplain takes the query parameters service, method, class and uri, which stand for the headers, the method and
// the URI of a caller's request.
func (s *Server) handleExplain(_ context.Context, c *app.RequestContext) {
	e := &Explanation{
		Instance: s.source.Instance,
		Method:   c.DefaultQuery("method", http.MethodGet),
	}
	e.Service, e.URI = gateway.Route(c.Query("service"), c.DefaultQuery("uri", "/"))
	if refusal := e.evaluate(s.source, c.Query("class")); refusal != nil {
		e.Refusal, e.Help = refusal.Name, refusal.Help
	}
	c.JSON(http.StatusOK, e)
}

// evaluate fills in the explanation from the current snapshot. It returns the reason why the request would be refused,
// or nil.
func (e *Explanation) evaluate(source Source, className string) *reason.Reason {
	snapshot := source.Snapshot()
	if snapshot == nil || !source.Ready() {
		return reason.NotReady
	}
	service := snapshot.Services[e.Service]
	if service == nil {
		return reason.UnknownService
	}
	e.Revision = service.Revision
	path, _, _ := strings.Cut(e.URI, "?")
	class := service.Class(className, e.Method, path)
	if class == nil {
		return reason.UnknownClass
	}
	e.Class = classRules(class)
	e.partitionTargets(service, source.Zone)
	if len(e.Candidates) == 0 {
		return reason.NoTarget
	}
	return nil
}

// partitionTargets separates the targets that may receive requests from those that are excluded.
func (e *Explanation) partitionTargets(service *control.Service, zone string) {
	receiving := map[string]bool{}
	for _, target := range service.Targets {
		receiving[target.Address] = true
	}
	for _, target := range service.Spec.Targets {
		explained := ExplainedTarget{Address: target.Address, Zone: target.Zone, SameZone: target.Zone == zone}
		if receiving[target.Address] {
			e.Candidates = append(e.Candidates, explained)
			continue
		}
		explained.ExclusionReason = exclusionReason(target.State)
		e.Excluded = append(e.Excluded, explained)
	}
}

func classRules(class *operator.Class) *ClassRules {
	return &ClassRules{
		Name:        class.Name,
		Repeatable:  class.Repeatable,
		NeedsTicket: !class.Repeatable,
		Priority:    class.Priority,
		TimeoutMS:   class.TimeoutMS,
		Long:        class.Long,
	}
}
