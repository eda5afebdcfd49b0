/**
 * The emulator: clients, endpoints, discovery and faults on loopback sockets round real daemon
 * processes.
 */
package cedarrudder.lab.emulator;
