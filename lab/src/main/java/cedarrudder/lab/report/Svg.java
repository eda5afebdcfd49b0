package cedarrudder.lab.report;

import java.awt.Dimension;
import java.awt.Font;
import java.awt.RenderingHints;
import java.awt.font.FontRenderContext;
import java.awt.geom.Rectangle2D;
import java.io.IOException;
import org.apache.batik.svggen.SVGGeneratorContext;
import org.apache.batik.svggen.SVGGraphics2D;
import org.apache.batik.svggen.SVGIDGenerator;
import org.w3c.dom.Document;
import org.w3c.dom.Element;
import org.w3c.dom.NodeList;

/** Draws charts as SVG elements of one page. */
final class Svg {

    private static final String SVG = "http://www.w3.org/2000/svg";

    private final Document page;

    /** One for the page: two drawings of their own would use the same ids. */
    private final SVGIDGenerator ids = new SVGIDGenerator();

    /**
     * Begins with the drawings of a page.
     *
     * @throws IOException if the machine has no fonts, by which plots are laid out
     */
    Svg(Document page) throws IOException {
        this.page = page;
        try {
            new Font(Font.SANS_SERIF, Font.PLAIN, 1)
                    .getStringBounds("x", new FontRenderContext(null, true, true));
        } catch (RuntimeException | LinkageError | InternalError e) {
            throw new IOException(
                    "plots are laid out with the system's fonts, and it has none ("
                            + e
                            + "); install fontconfig and a font, or ask for the text alone",
                    e);
        }
    }

    /** The element of a plot; {@code title} is for readers that can't see it. */
    Element draw(Plot plot, String title) {
        SVGGeneratorContext context = SVGGeneratorContext.createDefault(page);
        context.setIDGenerator(ids);
        SVGGraphics2D graphics = new SVGGraphics2D(context, false);
        graphics.setRenderingHint(
                RenderingHints.KEY_FRACTIONALMETRICS, RenderingHints.VALUE_FRACTIONALMETRICS_ON);
        graphics.setSVGCanvasSize(new Dimension(plot.width(), plot.height()));
        plot.chart().draw(graphics, new Rectangle2D.Double(0, 0, plot.width(), plot.height()));
        Element root = graphics.getRoot();
        root.setAttribute("viewBox", "0 0 " + plot.width() + " " + plot.height());
        root.setAttribute("role", "img");
        Element told = page.createElementNS(SVG, "title");
        told.setTextContent(title);
        root.insertBefore(told, root.getFirstChild());
        lighten(root);
        graphics.dispose();
        return root;
    }

    /**
     * Takes away what the writer says of each element and what is so anyway: a third of the page.
     */
    private static void lighten(Element root) {
        String whole = "";
        NodeList all = root.getElementsByTagNameNS(SVG, "*");
        for (int i = 0; i < all.getLength(); i++) {
            Element each = (Element) all.item(i);
            if (each.getTagName().equals("clipPath") && whole.isEmpty()) {
                // The first is that of the whole drawing.
                whole = "url(#" + each.getAttribute("id") + ")";
            }
            if (each.getAttribute("clip-path").equals(whole)) {
                each.removeAttribute("clip-path");
            }
            each.removeAttribute("xml:space");
            each.removeAttribute("text-rendering");
            if (each.getAttribute("id").equals("genericDefs")) {
                // The same in each drawing, where an id may stand once on a page.
                each.removeAttribute("id");
            }
        }
    }
}
