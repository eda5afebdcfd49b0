package cedarrudder.lab.docs;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.commonmark.node.AbstractVisitor;
import org.commonmark.node.FencedCodeBlock;
import org.commonmark.node.IndentedCodeBlock;
import org.commonmark.node.Node;
import org.commonmark.parser.IncludeSourceSpans;
import org.commonmark.parser.Parser;

/** Finds the code blocks of a page, wherever they stand in it. */
final class Page extends AbstractVisitor {

    private static final Parser PARSER =
            Parser.builder().includeSourceSpans(IncludeSourceSpans.BLOCKS).build();

    private final Path file;
    private final List<Block> blocks = new ArrayList<>();

    private Page(Path file) {
        this.file = file;
    }

    static List<Block> read(Path root, Path file) throws IOException {
        Page page = new Page(file);
        PARSER.parse(Files.readString(root.resolve(file))).accept(page);
        return page.blocks;
    }

    @Override
    public void visit(FencedCodeBlock block) {
        add(block, block.getInfo(), block.getLiteral());
    }

    @Override
    public void visit(IndentedCodeBlock block) {
        add(block, "", block.getLiteral());
    }

    private void add(Node block, String info, String text) {
        int line = block.getSourceSpans().get(0).getLineIndex() + 1;
        blocks.add(new Block(file, line, info == null ? "" : info.strip(), text));
    }
}
