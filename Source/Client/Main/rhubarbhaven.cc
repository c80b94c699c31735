#include <iostream>
#include <string>
#include <vector>

#include "Client/client.h"

auto main(int argc, char** argv) -> int {
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  return static_cast<int>(
      rhubarbhaven::RunCommand(arguments, std::cout, std::cerr));
}
