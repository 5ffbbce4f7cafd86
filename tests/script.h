/* script: what the scripted programs share: a line of commands as words. */
#ifndef SCRIPT_H
#define SCRIPT_H

#include <string.h>

/* Cut LINE into at most MOST words, in place; the count of them, 0 for an
   empty line and for a comment ("# ..."). */
static inline int
script_split(char *line, char **words, int most)
{
    int count = 0;
    char *save;
    for (char *w = strtok_r(line, " \n", &save); w && count < most;
         w = strtok_r(NULL, " \n", &save)) {
        words[count++] = w;
    }
    return count > 0 && words[0][0] == '#' ? 0 : count;
}

#endif
