// The `waxwingfront` program.
#include "waxwingfront/cli/command_line.h"

int main(int argc, char** argv) {
  return waxwingfront::cli::RunCommandLine(argc, argv);
}
