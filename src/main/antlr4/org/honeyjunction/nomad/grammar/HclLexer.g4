/** Tokens of HCL, as far as job files use it: docs/nomad.md. */
lexer grammar HclLexer;

@members {
    /** The lines of a heredoc up to the one that has nothing but [word]; false where the text ends before it. */
    private boolean heredoc() {
        String head = getText();
        String word = head.substring(head.startsWith("<<-") ? 3 : 2).trim();
        StringBuilder line = new StringBuilder();
        while (_input.LA(1) != org.antlr.v4.runtime.IntStream.EOF) {
            int c = _input.LA(1);
            if (c == '\n' || c == '\r') {
                if (line.toString().trim().equals(word)) return true;
                line.setLength(0);
            } else {
                line.appendCodePoint(c);
            }
            getInterpreter().consume(_input);
        }
        return line.toString().trim().equals(word);
    }
}

HEREDOC: '<<' '-'? [A-Za-z_] [A-Za-z0-9_-]* [ \t]* '\r'? '\n' { if (!heredoc()) setType(OPEN_HEREDOC); };

QUOTED: '"' PART* '"';
fragment PART: '\\' ~[\r\n] | '$${' | '%%{' | HOLE | '$' | '%' | ~["\\\r\n$%];
fragment HOLE: [$%] '{' INNER* '}';
fragment INNER: QUOTED | '{' INNER* '}' | ~[{}"];

NUMBER: [0-9]+ ('.' [0-9]+)? ([eE] [+-]? [0-9]+)?;
TRUE: 'true';
FALSE: 'false';
NULL: 'null';
FOR: 'for';
WORD: [\p{L}_] [\p{L}\p{Nd}_-]*;

LBRACE: '{';
RBRACE: '}';
LBRACKET: '[';
RBRACKET: ']';
LPAREN: '(';
RPAREN: ')';
ARROW: '=>';
EQ: '==';
NE: '!=';
LE: '<=';
GE: '>=';
ASSIGN: '=';
LT: '<';
GT: '>';
AND: '&&';
OR: '||';
NOT: '!';
PLUS: '+';
MINUS: '-';
TIMES: '*';
OVER: '/';
MODULO: '%';
QUESTION: '?';
COLON: ':';
COMMA: ',';
ELLIPSIS: '...';
DOT: '.';

COMMENT: ('#' | '//') ~[\r\n]* -> skip;
BLOCK_COMMENT: '/*' .*? '*/' -> skip;
BLANK: [ \t\r\n\uFEFF]+ -> skip;

/** A heredoc that is not closed; set by [HEREDOC] alone. */
OPEN_HEREDOC: '\u0000' '\u0000' '\u0000';
