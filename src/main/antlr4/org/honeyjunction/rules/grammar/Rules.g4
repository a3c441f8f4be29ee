/** The language of placement rules: requirements and preferences of tasks for the machines that run them; see docs/rules.md. */
grammar Rules;

file: rule_* EOF;

rule_: RULE name=STRING 'for' who '{' clause* '}';

// Selects tasks: those that a rule applies to, or the running tasks that a "machine runs" test looks for.
who: 'not' who                                   # whoNot
   | who 'and' who                               # whoAnd
   | who 'or' who                                # whoOr
   | '(' who ')'                                 # whoNested
   | 'all'                                       # whoAll
   | field=('class' | 'team' | 'image') text=STRING   # whoNamed
   | 'kind' text=WORD                           # whoKind
   | 'priority' text=WORD                       # whoPriority
   ;

clause: 'must' test way?                         # must
      | 'prefer' test way? 'weight' weight=NUMBER     # prefer
      ;

way: 'one' 'way';

test: 'not' test                                 # testNot
    | test 'and' test                            # testAnd
    | test 'or' test                             # testOr
    | '(' test ')'                               # testNested
    | 'same' label=WORD                          # same
    | 'machine' 'runs' who                       # runs
    | 'machine' 'caches' 'image' image=STRING            # caches
    | attribute op=('=' | '!=' | '<' | '<=' | '>' | '>=') value      # compare
    | attribute 'in' '[' value (',' value)* ']'  # oneOf
    | attribute                                  # flag
    ;

attribute: 'machine' '.' WORD;

value: STRING | NUMBER | 'true' | 'false';

RULE: 'rule';
STRING: '"' ( '\\' ["\\] | ~["\\\r\n] )* '"';
NUMBER: '-'? [0-9]+ ('.' [0-9]+)?;
WORD: [A-Za-z_] [A-Za-z0-9_-]*;
COMMENT: '#' ~[\r\n]* -> skip;
BLANK: [ \t\r\n]+ -> skip;
