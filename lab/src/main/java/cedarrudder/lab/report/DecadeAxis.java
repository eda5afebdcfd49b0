package cedarrudder.lab.report;

import java.awt.Graphics2D;
import java.awt.geom.Rectangle2D;
import java.text.DecimalFormat;
import java.text.DecimalFormatSymbols;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.jfree.chart.axis.LogAxis;
import org.jfree.chart.axis.NumberTick;
import org.jfree.chart.ui.RectangleEdge;
import org.jfree.chart.ui.TextAnchor;

/**
 * A logarithmic axis that runs from left to right with ticks at 1, 2 and 5 times the powers of ten.
 */
final class DecadeAxis extends LogAxis {

    private static final long serialVersionUID = 1;
    private static final double[] STEPS = {1, 2, 5};
    private static final double TEN = 10;

    DecadeAxis(String label) {
        super(label);
        setBase(TEN);
        setSmallestValue(1e-6);
    }

    @Override
    protected List<NumberTick> refreshTicksHorizontal(
            Graphics2D graphics, Rectangle2D area, RectangleEdge edge) {
        DecimalFormat format =
                new DecimalFormat("0.######", DecimalFormatSymbols.getInstance(Locale.ROOT));
        List<NumberTick> ticks = new ArrayList<>();
        for (double decade = Math.floor(Math.log10(getRange().getLowerBound()));
                decade <= Math.log10(getRange().getUpperBound());
                decade++) {
            for (double step : STEPS) {
                double value = step * Math.pow(TEN, decade);
                if (getRange().contains(value)) {
                    ticks.add(
                            new NumberTick(
                                    value,
                                    format.format(value),
                                    TextAnchor.TOP_CENTER,
                                    TextAnchor.CENTER,
                                    0));
                }
            }
        }
        return ticks;
    }
}
