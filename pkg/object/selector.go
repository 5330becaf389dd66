package object

// Operator is the comparison of a selector requirement.
type Operator string

// Selector operators.
const (
	OpIn        Operator = "In"
	OpNotIn     Operator = "NotIn"
	OpExists    Operator = "Exists"
	OpNotExists Operator = "DoesNotExist"
)

// Requirement compares one label.
type Requirement struct {
	Key      string   `json:"key"`
	Operator Operator `json:"operator"`
	Values   []string `json:"values,omitempty"`
}

// Selector matches label sets. All parts must hold; an empty selector matches
// every label set.
type Selector struct {
	MatchLabels      map[string]string `json:"matchLabels,omitempty"`
	MatchExpressions []Requirement     `json:"matchExpressions,omitempty"`
}

// Empty reports whether the selector matches everything.
func (s Selector) Empty() bool {
	return len(s.MatchLabels) == 0 && len(s.MatchExpressions) == 0
}

// Matches reports whether labels satisfy the selector.
func (s Selector) Matches(labels map[string]string) bool {
	for key, value := range s.MatchLabels {
		if got, ok := labels[key]; !ok || got != value {
			return false
		}
	}
	for _, r := range s.MatchExpressions {
		if !r.matches(labels) {
			return false
		}
	}
	return true
}

func (r Requirement) matches(labels map[string]string) bool {
	value, ok := labels[r.Key]
	switch r.Operator {
	case OpIn:
		return ok && contains(r.Values, value)
	case OpNotIn:
		return !ok || !contains(r.Values, value)
	case OpExists:
		return ok
	case OpNotExists:
		return !ok
	}
	return false
}

func contains(values []string, value string) bool {
	for _, v := range values {
		if v == value {
			return true
		}
	}
	return false
}
