/* script: shared by the scripted test programs: reads commands from standard
   input, one a line, and splits them into words. */
#ifndef SCRIPT_H
#define SCRIPT_H

#include <stdbool.h>
#include <stdio.h>
#include <string.h>

/* Split LINE in place into at most MAX words.  Returns their number; 0 for an
   empty line and for a comment ("# ..."). */
static inline int
script_split(char *line, char **words, int max)
{
    int count = 0;
    char *save;
    for (char *w = strtok_r(line, " \n", &save); w && count < max;
         w = strtok_r(NULL, " \n", &save)) {
        words[count++] = w;
    }
    return count > 0 && words[0][0] == '#' ? 0 : count;
}

#define SCRIPT_MAX_WORDS 10 /* of a line */

/* Call RUN_LINE for each line of standard input; it returns false for an
   unknown command.  Returns the exit status of the program. */
static inline int
script_run(bool (*run_line)(void *ctx, char **words, int count), void *ctx)
{
    char line[256];
    while (fgets(line, sizeof(line), stdin)) {
        char *words[SCRIPT_MAX_WORDS];
        int count = script_split(line, words, SCRIPT_MAX_WORDS);
        if (count > 0 && !run_line(ctx, words, count)) {
            fprintf(stderr, "unknown command '%s'\n", words[0]);
            return 2;
        }
    }
    return 0;
}

#endif
