// Package adminhttp implements the HTTP interface for operators: promotion and
// history of the configuration, status, drain, explain records and the fleet plan.
package adminhttp
