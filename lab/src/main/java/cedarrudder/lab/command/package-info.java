/** The lab's command line: one class a command. */
package cedarrudder.lab.command;
