/** Checks a run of the model or the emulator against the rules of the platform. */
package cedarrudder.lab.referee;
