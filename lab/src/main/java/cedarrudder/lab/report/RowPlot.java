package cedarrudder.lab.report;

import java.awt.BasicStroke;
import java.awt.Paint;
import java.awt.geom.Rectangle2D;
import java.util.ArrayList;
import java.util.List;
import org.jfree.chart.axis.NumberAxis;
import org.jfree.chart.axis.SymbolAxis;
import org.jfree.chart.axis.ValueAxis;
import org.jfree.chart.plot.ValueMarker;
import org.jfree.chart.plot.XYPlot;
import org.jfree.chart.renderer.xy.XYErrorRenderer;
import org.jfree.chart.ui.RectangleInsets;
import org.jfree.data.xy.XYIntervalSeries;
import org.jfree.data.xy.XYIntervalSeriesCollection;

/**
 * Marks on named rows: things to be compared stand under one another with their names beside them,
 * so that no legend of colours is needed to tell them apart.
 */
final class RowPlot {

    /** A kind of mark that is a part of its interval's line. */
    static final int NO_MARK = -1;

    private static final int WIDTH = 900;
    private static final int ROW = 18;
    private static final int AROUND = 78;

    /** A plot with more rows has its axis at the top too. */
    private static final int SHORT = 30;

    private static final int AXIS = 36;

    /** Room about the labels of values, so that there are few of them. */
    private static final RectangleInsets SPARSE = new RectangleInsets(2, 20, 2, 20);

    private final String unit;
    private final List<String> rows = new ArrayList<>();
    private final List<Integer> headings = new ArrayList<>();
    private final XYIntervalSeriesCollection marks = new XYIntervalSeriesCollection();
    private final XYErrorRenderer renderer = new XYErrorRenderer();
    private boolean logarithmic;
    private boolean fromZero;
    private double reference = Double.NaN;

    RowPlot(String unit) {
        this.unit = unit;
        renderer.setDrawYError(false);
        renderer.setDrawXError(true);
        // Ends without bars: a mark without an interval would have two bars through it.
        renderer.setCapLength(0);
        renderer.setErrorStroke(new BasicStroke(2, BasicStroke.CAP_BUTT, BasicStroke.JOIN_MITER));
    }

    /** Marks are placed by the logarithm of their values. */
    RowPlot logarithmic() {
        logarithmic = true;
        return this;
    }

    /** The axis begins at zero. */
    RowPlot fromZero() {
        fromZero = true;
        return this;
    }

    /** A line from top to bottom at this value. */
    RowPlot reference(double value) {
        reference = value;
        return this;
    }

    /** A kind of mark; answers with its number. */
    int kind(String name, int shape, boolean filled, Paint colour) {
        int number = marks.getSeriesCount();
        marks.addSeries(new XYIntervalSeries(name, false, true));
        renderer.setSeriesShape(
                number,
                shape == NO_MARK ? new Rectangle2D.Double(-6, -1, 12, 2) : Style.mark(shape));
        renderer.setSeriesShapesFilled(number, filled);
        renderer.setSeriesPaint(number, colour);
        return number;
    }

    /** A row that only names those below it. */
    void heading(String text) {
        headings.add(rows.size());
        rows.add(text + ":");
    }

    /** A row for marks. */
    void row(String text) {
        rows.add(text);
    }

    /** A mark on the last row. */
    void mark(int kind, double value) {
        mark(kind, value, value, value);
    }

    /** A mark on the last row, with an interval; without one where it is not a number. */
    void mark(int kind, double value, double low, double high) {
        if (Double.isNaN(value) || logarithmic && value <= 0) {
            return;
        }
        int row = rows.size() - 1;
        boolean interval = !Double.isNaN(low);
        marks.getSeries(kind)
                .add(value, interval ? low : value, interval ? high : value, row, row, row);
    }

    private ValueAxis values() {
        ValueAxis values = logarithmic ? new DecadeAxis(unit) : new NumberAxis(unit);
        if (values instanceof NumberAxis plain) {
            plain.setAutoRangeIncludesZero(fromZero);
            // Marks at zero are seen whole.
            plain.setAutoRangeStickyZero(false);
        }
        values.setTickLabelInsets(SPARSE);
        Style.axis(values);
        return values;
    }

    Plot plot() {
        ValueAxis values = values();
        SymbolAxis names = new SymbolAxis(null, rows.toArray(String[]::new));
        names.setInverted(true);
        names.setGridBandsVisible(false);
        names.setRange(-0.6, rows.size() - 0.4);
        XYPlot plot = new XYPlot(marks, values, names, renderer);
        Style.plot(plot);
        Style.axis(names);
        if (rows.size() > SHORT) {
            plot.setDomainAxis(1, values());
            plot.mapDatasetToDomainAxes(0, List.of(0, 1));
        }
        for (int heading : headings) {
            if (heading > 0) {
                plot.addRangeMarker(new ValueMarker(heading - 0.5, Style.GREY, Style.THIN));
            }
        }
        if (!Double.isNaN(reference)) {
            plot.addDomainMarker(new ValueMarker(reference, Style.INK, Style.THIN));
        }
        return new Plot(
                Style.chart(plot, marks.getSeriesCount() > 1),
                WIDTH,
                AROUND + (rows.size() > SHORT ? AXIS : 0) + ROW * rows.size());
    }
}
