# Feeds a recorded batch stream to the adapter and compares its replies and exit code.
execute_process(COMMAND ${ADAPTER} INPUT_FILE ${FOLDER}/transcript.in
  OUTPUT_VARIABLE out ERROR_VARIABLE err RESULT_VARIABLE code)
file(READ ${FOLDER}/transcript.out expected)
if(NOT code EQUAL 0)
  message(FATAL_ERROR "exit ${code}: ${err}")
endif()
if(NOT out STREQUAL expected)
  message(FATAL_ERROR "replies differ. Got:\n${out}\nExpected:\n${expected}")
endif()
if(NOT err MATCHES "line 9: unknown message skipped")
  message(FATAL_ERROR "the unknown message went unreported: ${err}")
endif()
# Framing lost: a plain message and a non-zero exit, nothing on standard output.
file(WRITE broken.in "HELLO scheduler=1\n")
execute_process(COMMAND ${ADAPTER} INPUT_FILE broken.in
  OUTPUT_VARIABLE out ERROR_VARIABLE err RESULT_VARIABLE code)
if(code EQUAL 0 OR NOT out STREQUAL "" OR NOT err MATCHES "framing is lost")
  message(FATAL_ERROR "lost framing: exit ${code}, '${out}', '${err}'")
endif()
