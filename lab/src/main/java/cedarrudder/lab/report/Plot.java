package cedarrudder.lab.report;

import org.jfree.chart.JFreeChart;

/** A chart and the size in pixels at which it is meant to be seen. */
record Plot(JFreeChart chart, int width, int height) {}
