# Included by CMake at the end of the project's own `project` call. Adds the
# stand-ins after the project's folders, so that no file of the project changes.
cmake_language(DEFER DIRECTORY "${CMAKE_SOURCE_DIR}" CALL include
  "${CMAKE_SOURCE_DIR}/review/stand_ins_3/targets.cmake")
