// Package adminhttp serves operators: promotion and history of the
// configuration, status, drain, explain records and the fleet plan.
package adminhttp
