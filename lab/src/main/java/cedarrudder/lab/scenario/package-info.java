/** Scenarios: a platform and what happens to it, read from TOML. */
package cedarrudder.lab.scenario;
