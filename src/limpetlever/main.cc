#include "commands/command_line.h"

int main(int argc, char** argv) {
  return limpetlever::RunCommandLine(argc, argv);
}
