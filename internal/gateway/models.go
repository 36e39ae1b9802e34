package gateway

import (
	"net/http"
	"sort"
)

// Model is one model in the response of GET /v1/models, in the format of the
// OpenAI API.
type Model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// ModelList is the response of GET /v1/models.
type ModelList struct {
	Object string  `json:"object"`
	Data   []Model `json:"data"`
}

func (g *Gateway) models(w http.ResponseWriter, _ *http.Request, c *call) error {
	list := ModelList{Object: "list", Data: []Model{}}
	for name := range c.state.Intent.Models {
		list.Data = append(list.Data, Model{ID: name, Object: "model", OwnedBy: "hickorystage"})
	}
	sort.Slice(list.Data, func(i, j int) bool { return list.Data[i].ID < list.Data[j].ID })
	writeJSON(w, http.StatusOK, list)
	return nil
}
