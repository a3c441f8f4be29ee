/** HCL as far as job files use it: docs/nomad.md. Lines are told apart by the reader, since no item can begin as an expression goes on. */
parser grammar HclParser;

options { tokenVocab = HclLexer; }

file: item* EOF;

/** What stands in a "${ }" of a text. */
hole: expr EOF;

item: name=WORD ASSIGN expr           # attribute
    | name=WORD label* LBRACE item* RBRACE  # block
    ;

label: QUOTED | WORD;

expr: expr DOT WORD                              # member
    | expr LBRACKET expr RBRACKET                # index
    | expr DOT TIMES                             # splat
    | expr LBRACKET TIMES RBRACKET               # splat
    | op=(NOT | MINUS) expr                      # unary
    | expr op=(TIMES | OVER | MODULO) expr       # binary
    | expr op=(PLUS | MINUS) expr                # binary
    | expr op=(LT | LE | GT | GE) expr           # binary
    | expr op=(EQ | NE) expr                     # binary
    | expr op=AND expr                           # binary
    | expr op=OR expr                            # binary
    | <assoc=right> expr QUESTION expr COLON expr # choice
    | WORD LPAREN (expr (COMMA expr)* (COMMA | ELLIPSIS)?)? RPAREN # call
    | WORD                                       # root
    | QUOTED                                     # quoted
    | HEREDOC                                    # heredoc
    | NUMBER                                     # number
    | value=(TRUE | FALSE | NULL)                # constant
    | LBRACKET (expr (COMMA expr)* COMMA?)? RBRACKET # list
    | LBRACE (entry (COMMA? entry)* COMMA?)? RBRACE  # object
    | (LBRACKET | LBRACE) FOR .*? (RBRACKET | RBRACE)  # comprehension
    | LPAREN expr RPAREN                         # nested
    ;

entry: key=expr (ASSIGN | COLON) value=expr;
