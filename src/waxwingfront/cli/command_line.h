// Entry point of the command line.
#ifndef WAXWINGFRONT_CLI_COMMAND_LINE_H_
#define WAXWINGFRONT_CLI_COMMAND_LINE_H_

namespace waxwingfront::cli {

// Exit codes of the program.
enum class exit_code : int {
  kOk = 0,
  // The command ran and failed; standard error has the error's type.
  kFailed = 1,
  // The command line, a settings file, a bundle or a job is not valid.
  kInvalidInput = 2,
  // Another operator's sign-off came first, or the job's id is taken.
  kConflict = 3,
  // It is not known whether the command took effect.
  kOutcomeUnknown = 4,
};

// Runs one command and returns the program's exit code.
int RunCommandLine(int argc, char** argv);

}  // namespace waxwingfront::cli

#endif  // WAXWINGFRONT_CLI_COMMAND_LINE_H_
