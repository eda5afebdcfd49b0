package cedarrudder.lab.report;

import java.io.IOException;
import java.io.StringWriter;
import java.util.List;
import javax.xml.parsers.DocumentBuilderFactory;
import javax.xml.parsers.ParserConfigurationException;
import javax.xml.transform.OutputKeys;
import javax.xml.transform.Transformer;
import javax.xml.transform.TransformerException;
import javax.xml.transform.TransformerFactory;
import javax.xml.transform.dom.DOMSource;
import javax.xml.transform.stream.StreamResult;
import org.w3c.dom.Document;
import org.w3c.dom.Element;

/** A page of HTML that is XML as well, and needs nothing but itself. */
final class HtmlPage {

    private static final String HTML = "http://www.w3.org/1999/xhtml";
    private static final String STYLE =
            """
            body { font: 15px/1.45 sans-serif; color: #222; background: #fff; max-width: 940px;
                   margin: 2em auto; padding: 0 1em; }
            h1 { font-size: 1.6em; } h2 { font-size: 1.3em; margin-top: 2.2em; border-top: 1px solid #bbb;
                   padding-top: .6em; }
            h3 { font-size: 1.05em; margin: 1.6em 0 .3em; }
            table { border-collapse: collapse; font-size: 13px; margin: .6em 0 1.2em; }
            th, td { padding: 2px 9px; border-bottom: 1px solid #ddd; text-align: right; }
            th:first-child, td:first-child, td.text, th.text { text-align: left; }
            td { white-space: nowrap; } td.text { white-space: normal; }
            td.text:first-child { white-space: nowrap; }
            th { border-bottom: 2px solid #888; vertical-align: bottom; }
            div.wide { overflow-x: auto; }
            div.pair { display: flex; flex-wrap: wrap; gap: 12px; }
            figure { margin: 0; } svg { max-width: 100%; height: auto; }
            svg text { font-family: Arial, "Liberation Sans", Helvetica, sans-serif; }
            figcaption, p.note { color: #555; font-size: 13px; }
            ul.index { columns: 3; padding-left: 1.2em; font-size: 14px; }
            """;

    private final Document document;
    private final Element body;
    private final Svg svg;
    private Element at;

    HtmlPage(String title) throws IOException {
        try {
            document = DocumentBuilderFactory.newInstance().newDocumentBuilder().newDocument();
        } catch (ParserConfigurationException e) {
            throw new IllegalStateException("every Java has an XML parser", e);
        }
        svg = new Svg(document);
        Element html = document.createElementNS(HTML, "html");
        html.setAttribute("lang", "en");
        document.appendChild(html);
        Element head = child(html, "head", null);
        child(head, "meta", null).setAttribute("charset", "utf-8");
        child(head, "title", title);
        child(head, "style", STYLE);
        body = child(html, "body", null);
        at = body;
        add("h1", title);
    }

    private Element child(Element parent, String name, String text) {
        Element element = document.createElementNS(HTML, name);
        if (text != null) {
            // An element without text would be written as one tag, which HTML takes for a
            // beginning.
            element.setTextContent(text.isEmpty() ? Numbers.NONE : text);
        }
        parent.appendChild(element);
        return element;
    }

    /** An element with a text, such as {@code p} or {@code h3}. */
    void add(String name, String text) {
        child(at, name, text);
    }

    /** A note in small print. */
    void note(String text) {
        child(at, "p", text).setAttribute("class", "note");
    }

    /** A heading to which the index leads. */
    void section(String id, String text) {
        child(body, "h2", text).setAttribute("id", id);
    }

    /** Links to sections: pairs of id and text. */
    void index(List<String[]> sections) {
        Element list = child(at, "ul", null);
        list.setAttribute("class", "index");
        for (String[] section : sections) {
            child(child(list, "li", null), "a", section[1]).setAttribute("href", "#" + section[0]);
        }
    }

    /** A plot under its question. */
    void figure(String question, Plot plot, String caption) {
        Element figure = child(at, "figure", null);
        child(figure, "h3", question);
        figure.appendChild(svg.draw(plot, question));
        if (!caption.isEmpty()) {
            child(figure, "figcaption", caption);
        }
    }

    /** Puts what {@code fill} adds side by side, where there is room. */
    void sideBySide(Runnable fill) {
        at = child(body, "div", null);
        at.setAttribute("class", "pair");
        fill.run();
        at = body;
    }

    /**
     * A table; figures are aligned to the right.
     *
     * @param texts how many columns, from the first, hold text
     */
    void table(List<String> heads, List<List<String>> rows, int texts) {
        Element wide = child(at, "div", null);
        wide.setAttribute("class", "wide");
        Element table = child(wide, "table", null);
        Element head = child(child(table, "thead", null), "tr", null);
        for (int i = 0; i < heads.size(); i++) {
            Element cell = child(head, "th", heads.get(i));
            if (i < texts) {
                cell.setAttribute("class", "text");
            }
        }
        Element tbody = child(table, "tbody", null);
        for (List<String> row : rows) {
            Element line = child(tbody, "tr", null);
            for (int i = 0; i < row.size(); i++) {
                Element cell = child(line, "td", row.get(i));
                if (i < texts) {
                    cell.setAttribute("class", "text");
                }
            }
        }
    }

    /** The page's text. */
    String text() {
        try {
            Transformer writer = TransformerFactory.newInstance().newTransformer();
            writer.setOutputProperty(OutputKeys.METHOD, "xml");
            writer.setOutputProperty(OutputKeys.ENCODING, "UTF-8");
            writer.setOutputProperty(OutputKeys.OMIT_XML_DECLARATION, "yes");
            StringWriter text = new StringWriter();
            text.write("<!DOCTYPE html>\n");
            writer.transform(new DOMSource(document), new StreamResult(text));
            return text.append('\n').toString();
        } catch (TransformerException e) {
            throw new IllegalStateException("the page can't be written", e);
        }
    }
}
